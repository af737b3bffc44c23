// A stub of a worker. It speaks the workers' protocol on a loopback socket.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "lab/random_stream.hpp"
#include "lab/scenario/scenario.hpp"
#include "lab/stubs/stub_server.hpp"
#include "lab/stubs/timer_set.hpp"
#include "net/resp.hpp"

namespace ironquay::lab {

// Executes requests on a number of cores that serve one bounded queue. Each request takes a random execution
// time, as the scenario describes it. On each connection, responses are sent in the order of the commands.
class StubWorker {
 public:
  // Listens at `address`. Throws std::system_error if that fails. `loop` and `scenario` must outlive the
  // worker.
  StubWorker(net::EventLoop& loop, const net::Address& address, const Scenario& scenario, std::uint32_t seed);
  // The address that the worker listens at, with the actual port.
  std::string address() const { return server_.address(); }

  // Begins a fault of one of the worker_* kinds, which ends after its duration. Other kinds are ignored.
  void inject(const Fault& fault);
  // Makes the worker reject all requests that arrive from now on.
  void drain() { draining_ = true; }

  // The number of requests received, including rejected ones.
  std::uint64_t received() const { return received_; }
  // The number of requests executed to their end.
  std::uint64_t executed() const { return executed_; }

 private:
  // The position of a response in the order of the responses on its connection.
  struct ResponseSlot {
    std::uint64_t connection = 0;  // identifier of the connection
    std::uint64_t position = 0;    // from 0
  };
  struct Job {
    ResponseSlot slot;
    std::size_t route = 0;  // index into Scenario::routes
    double size = 1;        // units of the request, divided by the mean units of a request
  };
  // The pipelined commands of one connection.
  struct Pipeline {
    std::uint64_t next_command = 0;   // position of the response to the next command that arrives
    std::uint64_t next_response = 0;  // position of the next response to be sent
    // Responses that wait until all earlier ones have been sent, by position.
    std::map<std::uint64_t, std::string> pending_responses;
  };

  std::size_t on_bytes(StubServer::Connection& connection, std::string_view bytes);
  void on_command(std::uint64_t connection, const net::resp::Command& command);
  void on_request(const ResponseSlot& slot, const net::resp::Command& command);
  bool has_capacity() const;
  std::size_t find_route(std::string_view name) const;
  void execute_queued();
  void finish(const Job& job);
  void respond(const ResponseSlot& slot, std::string response);
  void begin_fault(const Fault& fault);
  void end_fault(FaultKind kind);
  void crash();

  const Scenario& scenario_;
  RandomStream random_;
  std::deque<Job> queue_;
  std::map<std::uint64_t, Pipeline> pipelines_;  // by connection identifier
  int busy_cores_ = 0;
  double slowdown_ = 1;    // multiplies the execution time
  double error_rate_ = 0;  // probability that a response is an error
  bool hung_ = false;
  bool draining_ = false;
  bool crashed_ = false;
  std::uint64_t received_ = 0;
  std::uint64_t executed_ = 0;
  TimerSet timers_;
  StubServer server_;
};

}  // namespace ironquay::lab
