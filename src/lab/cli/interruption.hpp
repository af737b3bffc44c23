// Ends commands that run an event loop after a time limit or on SIGINT and SIGTERM.
#pragma once
#include <atomic>

#include "net/event_loop.hpp"
#include "net/timer.hpp"

namespace ironquay::lab {

// Returns a flag that SIGINT and SIGTERM set. From the first call on, these signals no longer end the
// process.
const std::atomic<bool>& interruption_flag();

// Stops an event loop after `duration`, or after SIGINT or SIGTERM. Checks for both every 100 ms.
class RunLimit {
 public:
  // `loop` must outlive this object.
  RunLimit(net::EventLoop& loop, Duration duration);

 private:
  void check();

  net::EventLoop& loop_;
  Duration end_;
  const std::atomic<bool>& interrupted_;
  net::Timer timer_;
};

}  // namespace ironquay::lab
