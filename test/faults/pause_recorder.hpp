// Records when the test process itself did not run. Its threads are the clients and the stub workers, so that
// a pause of the process looks like a late client or a late worker.
#pragma once
#include <atomic>
#include <iosfwd>
#include <mutex>
#include <thread>
#include <vector>

#include "../net/support/waiting.hpp"

namespace ironquay::net {

/// A time in which the process did not run.
struct Pause {
  Clock::time_point begin;
  Clock::time_point end;
};

/// Records the pauses of the process for the lifetime of the object.
class PauseRecorder {
 public:
  /// A shorter delay of the recording thread does not count as a pause.
  static constexpr Milliseconds kShortestPause = 50ms;

  PauseRecorder();
  ~PauseRecorder();
  PauseRecorder(const PauseRecorder&) = delete;
  PauseRecorder& operator=(const PauseRecorder&) = delete;

  std::vector<Pause> pauses() const;
  /// Whether a pause lasted at `time`, or had ended less than kShortestPause before.
  bool covers(Clock::time_point time) const;

 private:
  void run();

  std::atomic<bool> running_ = true;
  mutable std::mutex mutex_;  // guards the pauses
  std::vector<Pause> pauses_;
  std::thread thread_;
};

/// Prints the number of pauses and the longest one.
std::ostream& operator<<(std::ostream& out, const PauseRecorder& recorder);

}  // namespace ironquay::net
