#include "pause_recorder.hpp"

#include <algorithm>
#include <ostream>

namespace ironquay::net {
namespace {

constexpr Milliseconds kInterval = 5ms;

}  // namespace

PauseRecorder::PauseRecorder() : thread_([this] { run(); }) {}

PauseRecorder::~PauseRecorder() {
  running_ = false;
  thread_.join();
}

void PauseRecorder::run() {
  auto last = Clock::now();
  while (running_) {
    std::this_thread::sleep_for(kInterval);
    const auto now = Clock::now();
    if (now - last >= kShortestPause) {
      const std::lock_guard lock(mutex_);
      pauses_.push_back({last, now});
    }
    last = now;
  }
}

std::vector<Pause> PauseRecorder::pauses() const {
  const std::lock_guard lock(mutex_);
  return pauses_;
}

bool PauseRecorder::covers(Clock::time_point time) const {
  const std::vector<Pause> recorded = pauses();
  return std::any_of(recorded.begin(), recorded.end(), [&](const Pause& pause) {
    return time >= pause.begin && time < pause.end + kShortestPause;
  });
}

std::ostream& operator<<(std::ostream& out, const PauseRecorder& recorder) {
  Clock::duration longest{0};
  const std::vector<Pause> pauses = recorder.pauses();
  for (const Pause& pause : pauses) longest = std::max(longest, pause.end - pause.begin);
  return out << "pauses of the test " << pauses.size() << ", longest "
             << std::chrono::duration_cast<Milliseconds>(longest).count() << " ms";
}

}  // namespace ironquay::net
