// The event queue and the clock of the emulation's simulated time.
#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "policy/types.hpp"

namespace ironquay::lab {

// Runs scheduled actions in the order of their times. Actions with the same time run in the order in which
// they were scheduled.
class EventQueue {
 public:
  using Action = std::function<void()>;

  // The simulated time since the start of the run. While an action runs, this is the time that it was
  // scheduled for.
  Duration now() const { return now_; }
  // Schedules an action. If `when` is in the past, the action runs at the current time.
  void schedule_at(Duration when, Action action) {
    queue_.push({std::max(when, now_), ++last_sequence_, std::move(action)});
  }
  void schedule_in(Duration delay, Action action) { schedule_at(now_ + delay, std::move(action)); }
  // Runs all actions that are due at or before `end`, including those that they schedule, and then advances
  // the clock to `end`.
  void run_until(Duration end) {
    while (!queue_.empty() && queue_.top().when <= end) {
      // top() returns a const reference. Moving from it is safe because the element is popped immediately.
      Event event = std::move(const_cast<Event&>(queue_.top()));
      queue_.pop();
      now_ = event.when;
      event.action();
    }
    now_ = std::max(now_, end);
  }

 private:
  struct Event {
    Duration when;
    std::uint64_t sequence;  // order of scheduling, which breaks ties
    Action action;
    // std::priority_queue returns its greatest element first, so the earliest event compares greatest.
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : sequence > other.sequence;
    }
  };

  std::priority_queue<Event> queue_;
  std::uint64_t last_sequence_ = 0;
  Duration now_{0};
};

}  // namespace ironquay::lab
