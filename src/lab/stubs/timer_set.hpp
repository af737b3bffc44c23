// Runs delayed actions on an event loop.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "net/event_loop.hpp"
#include "net/timer.hpp"

namespace ironquay::lab {

// Owns the timers of any number of delayed actions. Actions that are pending when the set is cleared or
// destroyed do not run.
class TimerSet {
 public:
  // `loop` must outlive this object.
  explicit TimerSet(net::EventLoop& loop) : loop_(loop) {}

  // Runs the action once, after `delay`.
  void run_in(Duration delay, std::function<void()> action) {
    std::erase_if(timers_, [](const auto& timer) { return !timer->is_active(); });
    // A running action may call run_in(), which destroys the expired timers, including the action's own
    // timer. The action is therefore moved to the stack before it runs.
    timers_.push_back(std::make_unique<net::Timer>(loop_, [action = std::move(action)]() mutable {
      const std::function<void()> running_action = std::move(action);
      running_action();
    }));
    timers_.back()->expire_after(delay);
  }
  // Cancels all pending actions.
  void clear() { timers_.clear(); }

 private:
  net::EventLoop& loop_;
  std::vector<std::unique_ptr<net::Timer>> timers_;
};

}  // namespace ironquay::lab
