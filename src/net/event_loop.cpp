#include "net/event_loop.hpp"

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "net/timer.hpp"
#include "net/wall_clock.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxEventsPerIteration = 256;
constexpr Duration kMaxSleep = 1min;
// The delay before a system call that has failed for lack of memory is tried again.
constexpr Duration kRetryDelay = 5ms;

Duration monotonic_time() {
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace

EventLoop::EventLoop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      epoch_(unix_time() - monotonic_time()),
      now_(precise_now()),
      retry_timer_(std::make_unique<Timer>(*this, [this] { retry_failed(); })),
      read_buffer_(std::make_unique<ReadBuffer>()) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::~EventLoop() = default;

void EventLoop::update_clock(Duration busy) {
  now_ = precise_now();
  longest_iteration_ = std::max(longest_iteration_, busy);
  const Duration overdue = timers_.empty() ? Duration(0) : now_ - timers_.front()->expires_at_;
  const Duration left_since = events_were_left_ ? scheduling_delay_ : Duration(0);
  scheduling_delay_ = std::max({left_since + busy, overdue, Duration(0)});
}

Duration EventLoop::precise_now() const { return epoch_ + monotonic_time(); }

EventLoop::Token EventLoop::watch(int fd, Handler& handler) {
  if (free_slots_.empty()) {
    free_slots_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const std::uint32_t index = free_slots_.back();
  const Token token = (Token{slots_[index].generation} << 32) | index;
  if (!add_to_epoll(token, fd)) {
    pending_watches_.push_back({token, fd});
    retry_timer_->expire_after(kRetryDelay);
  }
  free_slots_.pop_back();
  slots_[index].handler = &handler;
  return token;
}

// Returns false if the system lacks memory at the moment.
bool EventLoop::add_to_epoll(Token token, int fd) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = token;
  if (epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) == 0) return true;
  if (errno != ENOMEM && errno != ENOSPC)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  return false;
}

void EventLoop::requeue_later(Token token, std::uint32_t events) {
  requeued_later_.push_back({token, events});
  if (!retry_timer_->is_active()) retry_timer_->expire_after(kRetryDelay);
}

// When a descriptor is added to the epoll set, the system reports all events that are pending on it.
void EventLoop::retry_failed() {
  requeued_.insert(requeued_.end(), requeued_later_.begin(), requeued_later_.end());
  requeued_later_.clear();
  std::erase_if(pending_watches_, [this](const PendingWatch& watch) {
    return !is_watched(watch.token) || add_to_epoll(watch.token, watch.fd);
  });
  if (!pending_watches_.empty()) retry_timer_->expire_after(kRetryDelay);
}

bool EventLoop::is_watched(Token token) const {
  const Slot& slot = slots_[static_cast<std::uint32_t>(token)];
  return slot.generation == token >> 32 && slot.handler;
}

// The kernel removes the descriptor from the epoll set when the caller closes it.
void EventLoop::unwatch(Token token) {
  const auto index = static_cast<std::uint32_t>(token);
  if (index >= slots_.size()) return;
  Slot& slot = slots_[index];
  if (slot.generation != token >> 32 || !slot.handler) return;
  slot.handler = nullptr;
  ++slot.generation;
  free_slots_.push_back(index);
}

void EventLoop::dispatch(Token token, std::uint32_t events) {
  if (is_watched(token)) slots_[static_cast<std::uint32_t>(token)].handler->on_events(events);
}

// Events that handlers requeue during the dispatch are delivered in the next iteration.
void EventLoop::dispatch_requeued() {
  dispatching_.swap(requeued_);
  for (const RequeuedEvents& requeued : dispatching_) dispatch(requeued.token, requeued.events);
  dispatching_.clear();
}

void EventLoop::run() {
  std::array<epoll_event, kMaxEventsPerIteration> events{};
  for (running_ = true; running_;) {
    const Duration busy_time = precise_now() - now_;
    const int count =
        epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), epoll_timeout_ms());
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
    update_clock(busy_time);
    events_were_left_ = count == static_cast<int>(events.size());
    // Input is handled before timers, so that after the process was delayed, a response that has already
    // arrived is not treated as timed out.
    dispatch_requeued();
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      dispatch(event.data.u64, event.events);
    }
    fire_due_timers();
    if (background_work_ && background_work_->has_work()) background_work_->run();
    to_destroy_.clear();
  }
}

// Returns the timeout for epoll_wait(), rounded up to whole milliseconds because a timer must not fire early.
// Without timers it is -1, which waits for an event without a time limit.
int EventLoop::epoll_timeout_ms() const {
  if (!requeued_.empty() || (background_work_ && background_work_->has_work())) return 0;
  if (timers_.empty()) return -1;
  const Duration time_to_expiry = timers_.front()->expires_at_ - now_;
  const Duration sleep = std::clamp<Duration>(time_to_expiry, 0ms, kMaxSleep);
  return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(sleep).count());
}

// Fires the timers that have expired, but at most as many as were active at the start. Timers that callbacks
// start with a time that is not in the future may have to wait for the next iteration.
void EventLoop::fire_due_timers() {
  for (std::size_t remaining = timers_.size(); remaining > 0; --remaining) {
    if (timers_.empty() || timers_.front()->expires_at_ > now_) return;
    Timer* timer = timers_.front();
    timer->stop();
    timer->callback_();
  }
}

void EventLoop::place_in_heap(std::size_t index, Timer* timer) {
  timers_[index] = timer;
  timer->heap_index_ = index;
}

void EventLoop::restore_heap(std::size_t index) {
  Timer* timer = timers_[index];
  while (index > 0) {
    const std::size_t parent = (index - 1) / 2;
    if (timer->expires_at_ >= timers_[parent]->expires_at_) break;
    place_in_heap(index, timers_[parent]);
    index = parent;
  }
  for (std::size_t child = 2 * index + 1; child < timers_.size(); child = 2 * index + 1) {
    const bool has_sibling = child + 1 < timers_.size();
    if (has_sibling && timers_[child + 1]->expires_at_ < timers_[child]->expires_at_) ++child;
    if (timers_[child]->expires_at_ >= timer->expires_at_) break;
    place_in_heap(index, timers_[child]);
    index = child;
  }
  place_in_heap(index, timer);
}

}  // namespace ironquay::net
