// The figures that a gateway writes to its log at regular intervals and when it stops.
#pragma once
#include <cstdint>
#include <functional>

#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// Counters since the gateway started.
struct RequestCounters {
  std::uint64_t received = 0;      // valid requests
  std::uint64_t served = 0;        // answered with a worker's value
  std::uint64_t rejected = 0;      // answered with a rejection
  std::uint64_t failed = 0;        // answered with an error
  std::uint64_t disconnected = 0;  // ended by the client
  std::uint64_t attempts = 0;      // attempts at workers
};

// State at the time of a line.
struct StatusGauges {
  std::size_t clients = 0;        // client connections
  std::size_t lingering = 0;      // half-closed ones among the former
  std::size_t pending = 0;        // commands without a written response
  std::size_t client_bytes = 0;   // memory that clients make the gateway hold
  std::size_t customers = 0;      // customers with a quota slice
  std::size_t counter_calls = 0;  // calls to the counter without a reply
};

// Writes the status line.
class StatusLog {
 public:
  // `read_gauges` is called for each line.
  StatusLog(EventLoop& loop, std::function<StatusGauges()> read_gauges);

  RequestCounters counters;
  void write();

 private:
  EventLoop& loop_;
  std::function<StatusGauges()> read_gauges_;
  Timer timer_;
};

// Returns the reason code that is written to the log.
const char* to_string(UnservedReason reason);
// Returns the name of the outcome that is written to the log.
const char* to_string(Outcome outcome);

}  // namespace ironquay::net
