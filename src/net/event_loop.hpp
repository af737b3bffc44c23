// A single-threaded event loop based on epoll, with timers and a clock.
#pragma once
#include <sys/epoll.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "net/file_descriptor.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

class Timer;

// Waits for events of file descriptors and for timers, and calls their handlers. All functions must be called
// from one thread.
class EventLoop {
 public:
  // Receives the events of a watched descriptor.
  class Handler {
   public:
    virtual ~Handler() = default;
    // `events` contains edge-triggered epoll event bits.
    virtual void on_events(std::uint32_t events) = 0;
  };

  // Work that can wait until the events and timers of an iteration are handled.
  class BackgroundWork {
   public:
    virtual ~BackgroundWork() = default;
    virtual bool has_work() const = 0;
    // Does a part of the work. Called once per iteration while has_work().
    virtual void run() = 0;
  };

  static constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
  using ReadBuffer = std::array<char, kReadBufferBytes>;

  // Identifies a watched descriptor. Events that are still queued when it is unwatched are dropped.
  using Token = std::uint64_t;

  // Throws std::system_error.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // The time at which the current iteration began, on a monotonic clock. It equals the Unix time when the
  // loop is created, and does not follow it when the system's clock is set.
  Duration now() const { return now_; }
  // The current time, on the same clock. Reads the clock.
  Duration precise_now() const;
  // The maximum time for which an event of this iteration may have been waiting: while the previous iteration
  // was running, or while the process was not scheduled.
  Duration scheduling_delay() const { return scheduling_delay_; }

  // Returns the longest time that an iteration has taken since the last call.
  Duration take_longest_iteration() { return std::exchange(longest_iteration_, Duration(0)); }

  // Watches a descriptor for input, output and the peer's end of stream (edge-triggered). The handler must
  // stay valid until unwatch(). If the system lacks the memory for it, it is tried again until it succeeds.
  // Throws std::system_error if the descriptor cannot be watched at all.
  Token watch(int fd, Handler& handler);
  // Stops the delivery of events. The caller closes the descriptor. Does nothing if the descriptor is no
  // longer watched.
  void unwatch(Token token);
  // Delivers the events to the handler in the next iteration. Used when a handler stops before it has read
  // all input.
  void requeue(Token token, std::uint32_t events) { requeued_.push_back({token, events}); }
  // Delivers the events to the handler after a short time. Used when a system call has failed for lack of
  // memory, after which no event follows.
  void requeue_later(Token token, std::uint32_t events);
  // Sets the background work, which must outlive the loop or be replaced by null.
  void set_background_work(BackgroundWork* work) { background_work_ = work; }
  // Destroys the handler at the end of the iteration, because one of its functions may be on the call stack.
  void destroy_later(std::unique_ptr<Handler> handler) { to_destroy_.push_back(std::move(handler)); }

  // Runs the loop until stop() is called. Throws std::system_error.
  void run();
  // Ends run() at the end of the current iteration.
  void stop() { running_ = false; }

  // A buffer shared by all handlers. Its content is valid only until the handler that filled it returns. A
  // handler that fills it holds a ReadBufferLock meanwhile.
  ReadBuffer& read_buffer() { return *read_buffer_; }
  bool read_buffer_is_locked() const { return read_buffer_locked_; }

  // Marks the read buffer as in use for the lifetime of this object. The buffer must not be locked already.
  class ReadBufferLock {
   public:
    explicit ReadBufferLock(EventLoop& loop) : loop_(loop) { loop_.read_buffer_locked_ = true; }
    ~ReadBufferLock() { loop_.read_buffer_locked_ = false; }
    ReadBufferLock(const ReadBufferLock&) = delete;
    ReadBufferLock& operator=(const ReadBufferLock&) = delete;

   private:
    EventLoop& loop_;
  };

 private:
  friend class Timer;

  // A slot holds one watched descriptor's handler and is reused after unwatch(). The generation distinguishes
  // successive registrations in the same slot.
  struct Slot {
    Handler* handler = nullptr;
    std::uint32_t generation = 0;
  };
  struct RequeuedEvents {
    Token token = 0;
    std::uint32_t events = 0;
  };
  // A descriptor that could not be added to the epoll set yet.
  struct PendingWatch {
    Token token = 0;
    int fd = -1;
  };

  void dispatch(Token token, std::uint32_t events);
  void dispatch_requeued();
  bool add_to_epoll(Token token, int fd);
  void retry_failed();
  bool is_watched(Token token) const;
  void update_clock(Duration busy);
  void fire_due_timers();
  int epoll_timeout_ms() const;
  // Moves the timer at `index` up or down until the heap is ordered again.
  void restore_heap(std::size_t index);
  // Stores the timer at `index` of the heap and updates its index.
  void place_in_heap(std::size_t index, Timer* timer);

  FileDescriptor epoll_;
  const Duration epoch_;  // the Unix time minus the system's monotonic clock when the loop was created
  Duration now_{0};
  Duration scheduling_delay_{0};
  Duration longest_iteration_{0};
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
  std::vector<RequeuedEvents> requeued_;
  // The events being dispatched by dispatch_requeued(), otherwise empty. A member so that its memory is
  // reused.
  std::vector<RequeuedEvents> dispatching_;
  std::vector<RequeuedEvents> requeued_later_;
  std::vector<PendingWatch> pending_watches_;
  std::vector<std::unique_ptr<Handler>> to_destroy_;
  BackgroundWork* background_work_ = nullptr;
  std::vector<Timer*> timers_;          // a binary min-heap, ordered by expiry time
  std::unique_ptr<Timer> retry_timer_;  // for requeued_later_ and pending_watches_
  std::unique_ptr<ReadBuffer> read_buffer_;
  bool read_buffer_locked_ = false;
  bool events_were_left_ = false;  // the last epoll_wait() returned as many events as it may
  bool running_ = true;
};

}  // namespace ironquay::net
