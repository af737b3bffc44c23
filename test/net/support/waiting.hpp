// Time limits of the socket tests, and functions that wait for sockets and conditions.
#pragma once
#include <poll.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>
#include <vector>

#include "net/socket.hpp"

namespace ironquay::net {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// The time limit of a wait. It is longer than any expected event takes, even on a busy machine and with
/// sanitizers, so a wait that reaches it has failed.
constexpr Milliseconds kWaitTimeout = 15s;

/// Waits up to `timeout` until `fd` has bytes, the end of stream or a connection to accept. Zero checks
/// without waiting.
inline bool readable(const FileDescriptor& fd, Milliseconds timeout) {
  pollfd event{fd.get(), POLLIN, 0};
  return poll(&event, 1, static_cast<int>(timeout.count())) == 1;
}

/// Waits like readable() until any of the descriptors is readable. Ignores empty descriptors.
inline bool readable_any(const std::vector<const FileDescriptor*>& fds, Milliseconds timeout) {
  std::vector<pollfd> events;
  events.reserve(fds.size());
  for (const FileDescriptor* fd : fds) events.push_back({fd->get(), POLLIN, 0});
  return poll(events.data(), events.size(), static_cast<int>(timeout.count())) > 0;
}

inline double seconds_since(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// Checks `condition` every `interval` until it holds or kWaitTimeout has passed. Returns whether it holds.
template <typename Condition>
bool wait_until(Condition condition, Milliseconds interval = 10ms) {
  const auto start = Clock::now();
  while (!condition()) {
    if (Clock::now() - start > kWaitTimeout) return false;
    std::this_thread::sleep_for(interval);
  }
  return true;
}

/// Runs a scenario that is meaningful only if the machine is fast enough. `scenario` returns whether the run
/// was in time. It must create a new deployment in each run, and is repeated until a run is in time. Fails
/// the test after `max_runs` runs.
template <typename Scenario>
void repeat_until_in_time(Scenario scenario, int max_runs = 20) {
  bool in_time = false;
  for (int run = 0; run < max_runs && !in_time; ++run) in_time = scenario();
  REQUIRE(in_time);
}

}  // namespace ironquay::net
