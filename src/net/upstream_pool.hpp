// The connections to the workers: sends attempts and health checks, and keeps idle connections for reuse.
#pragma once
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings_decoder.hpp"
#include "net/event_loop.hpp"
#include "net/exchange.hpp"
#include "net/socket.hpp"
#include "net/timer.hpp"
#include "net/upstream_connection.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// Limits for the connections to all workers together.
struct UpstreamLimits {
  std::size_t max_connections = 1;  // 0 is treated as 1
  std::size_t buffer_bytes = 0;     // memory for incomplete responses
};

class UpstreamPool : UpstreamConnection::Owner {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // Returns an open request; null if it has ended.
    virtual const Exchange* find_request(RequestId request) const = 0;
    // An attempt has ended. May be called from within send_attempt(), cancel_attempt() and check_health().
    virtual void on_attempt_end(const AttemptEnd& end) = 0;
    // Whether an attempt that could not be written immediately may still be written. It had to wait until its
    // connection was established or its socket accepted more bytes.
    virtual bool may_send_attempt(RequestId request, std::size_t attempt) = 0;
    // A health check has ended, `elapsed` after it was started. May be called from within check_health().
    virtual void on_health_check_end(WorkerId worker, Outcome outcome, Duration elapsed) = 0;
  };

  UpstreamPool(EventLoop& loop, const ConnectionSettings& settings, const UpstreamLimits& limits,
               Listener& listener);

  // Sets the address at which a worker listens and the time when its process started. Existing connections
  // are not used for further attempts after a change of either, nor after another worker was set at the same
  // address.
  void set_endpoint(WorkerId id, const Address& address, Duration started_at);
  // The worker's process is gone. Existing connections are not used for further attempts.
  void forget_process(WorkerId id);
  // Removes a worker that has no attempt in flight and closes its connections. Its id may be assigned to
  // another worker afterwards.
  void remove_worker(WorkerId id);
  // Sends an attempt to a worker whose endpoint is set. The attempt times out after `timeout`. `attempt` is
  // its index among the request's attempts.
  void send_attempt(const Exchange& exchange, std::size_t attempt, WorkerId worker, Duration timeout);
  // Closes the connection of an attempt; does nothing if the attempt has ended.
  void cancel_attempt(RequestId request, std::size_t attempt);
  // Sends a PING to a worker whose endpoint is set. It times out after the connect timeout of the settings.
  void check_health(WorkerId worker);
  void close_idle_connections(WorkerId id);

 private:
  struct Worker {
    Address address{};
    Duration started_at{0};                             // when the worker's process started
    Duration endpoint_changed_at{0};                    // when the address or the process last changed
    std::vector<UpstreamConnection*> idle_connections;  // the most recently used one is last
  };

  bool is_outdated(WorkerId worker, Duration opened_at) const override;
  void on_connect_refused(WorkerId worker) override;
  std::string_view attempt_command(RequestId request, Duration time_left) override;
  bool may_send_attempt(RequestId request, std::size_t attempt) override;
  void on_connection_idle(UpstreamConnection& connection) override;
  void on_connection_closed(UpstreamConnection& connection) override;
  void on_attempt_end(const AttemptEnd& end) override;
  void on_health_check_end(WorkerId worker, Outcome outcome, Duration elapsed) override;

  UpstreamConnection* acquire_connection(WorkerId id);
  UpstreamConnection* acquire_idle_connection(Worker& worker);
  UpstreamConnection* open_connection(WorkerId id, const Worker& worker);
  bool evict_idle_connection();
  void close_expired_idle_connections();
  void on_send_failure(const Exchange& exchange, std::size_t attempt, WorkerId worker, int error);
  static std::uint64_t in_flight_key(RequestId request, std::size_t attempt);

  EventLoop& loop_;
  ConnectionSettings settings_;
  std::size_t max_connections_;
  ResponseBufferBudget budget_;
  Listener& listener_;
  std::unordered_map<WorkerId, Worker> workers_;
  std::unordered_map<std::uint64_t, WorkerId> address_owners_;  // the worker that was last set at an address
  std::unordered_map<std::uint64_t, UpstreamConnection*> in_flight_;  // by in_flight_key() of their attempt
  std::vector<std::unique_ptr<UpstreamConnection>> connections_;
  std::string command_;  // reused for each attempt, to save allocations
  Timer idle_check_timer_;
};

}  // namespace ironquay::net
