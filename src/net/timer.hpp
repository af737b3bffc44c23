// A one-shot timer on an event loop.
#pragma once
#include <cstddef>
#include <functional>

#include "net/event_loop.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// Calls its callback once when it expires. The event loop must outlive the timer. Not movable, because the
// loop holds a pointer to it.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> callback) : loop_(loop), callback_(std::move(callback)) {}
  ~Timer() { stop(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Starts or restarts the timer. It does not fire before EventLoop::now() reaches `when`.
  void expire_at(Duration when);
  void expire_after(Duration delay) { expire_at(loop_.now() + delay); }
  // Cancels the timer. Does nothing if it is not active.
  void stop();
  // Whether the timer has been started and has neither fired nor been stopped since.
  bool is_active() const { return heap_index_ != kNotInHeap; }
  // The expiry time with which the timer was last started.
  Duration expires_at() const { return expires_at_; }

 private:
  friend class EventLoop;
  static constexpr std::size_t kNotInHeap = static_cast<std::size_t>(-1);

  EventLoop& loop_;
  std::function<void()> callback_;
  Duration expires_at_{0};
  std::size_t heap_index_ = kNotInHeap;  // index in EventLoop::timers_
};

}  // namespace ironquay::net
