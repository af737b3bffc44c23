// One TCP connection to a worker. It carries one attempt or one health check at a time, in RESP.
#pragma once
#include <cstdint>
#include <string_view>

#include "config/settings_decoder.hpp"
#include "net/event_loop.hpp"
#include "net/memory_share.hpp"
#include "net/resp.hpp"
#include "net/socket.hpp"
#include "net/tcp_stream.hpp"
#include "net/timer.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// Why a connection to a worker was closed, or could not be opened.
enum class UpstreamCloseReason {
  attempt_expired,      // the attempt became invalid before it was written
  connect_refused,      // the connection could not be established
  connect_timed_out,    // the connection was not established in time
  response_timed_out,   // the command was not written, or not answered, in time
  closed_by_worker,     // the worker closed the connection normally
  reset_by_worker,      // the connection was reset
  malformed_response,   // the response was unreadable, or no command was in flight
  incomplete_response,  // the response stopped halfway
  trailing_bytes,       // more bytes followed a valid response
  memory_limit,         // incomplete responses exceeded their memory limit
  cancelled,            // the attempt was cancelled
  endpoint_changed,     // the worker is draining or gone, or its address or process has changed
  idle_timeout,         // the connection was idle for too long
  connection_limit,     // closed to make room for a new one, or not opened for lack of descriptors
};
// Returns the reason code that is written to the log.
const char* to_string(UpstreamCloseReason reason);

// The memory for incomplete responses, which the connections to all workers share. It counts what is
// allocated, which may be more than has been received.
struct ResponseBufferBudget {
  std::size_t limit_bytes = 0;
  std::size_t used_bytes = 0;

  bool exceeded() const { return used_bytes > limit_bytes; }
};

// How an attempt ended. `value` is valid only during the call that receives this report.
struct AttemptEnd {
  RequestId request = 0;
  std::size_t attempt = 0;  // index among the request's attempts
  WorkerId worker = 0;
  Outcome outcome = Outcome::success;
  Duration elapsed{0};      // time since the attempt was started
  std::string_view value;   // the value in wire format; empty unless the attempt succeeded
  double actual_units = 0;  // units of quota that the worker reported; 0 if it reported none
};

class UpstreamConnection : public EventLoop::Handler {
 public:
  // The pool that owns the connection.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Whether the worker's address or process has changed since `opened_at`, the time when a connection to
    // the worker was opened. Such a connection must not be used for further attempts.
    virtual bool is_outdated(WorkerId worker, Duration opened_at) const = 0;
    // Nothing listens at the worker's address: its process is gone.
    virtual void on_connect_refused(WorkerId worker) = 0;
    // Returns the command of an attempt, which tells the worker that `time_left` is left. The view is valid
    // until the next call. Empty if the request has ended.
    virtual std::string_view attempt_command(RequestId request, Duration time_left) = 0;
    // Whether an attempt that could not be written immediately may still be written.
    virtual bool may_send_attempt(RequestId request, std::size_t attempt) = 0;
    // The connection is idle and can be used for another attempt or health check.
    virtual void on_connection_idle(UpstreamConnection& connection) = 0;
    // The connection is closed. The owner destroys it after the current iteration of the event loop.
    virtual void on_connection_closed(UpstreamConnection& connection) = 0;
    virtual void on_attempt_end(const AttemptEnd& end) = 0;
    // `elapsed` is the time since the health check was started.
    virtual void on_health_check_end(WorkerId worker, Outcome outcome, Duration elapsed) = 0;
  };

  // `fd` is a socket that is connecting to `address`. The other references must outlive the connection.
  UpstreamConnection(EventLoop& loop, const ConnectionSettings& settings, ResponseBufferBudget& budget,
                     Owner& owner, WorkerId worker, FileDescriptor fd, const Address& address);

  // Writes the command of an attempt as soon as the connection is established, and waits for its response
  // until `timeout` has passed. The connection must be idle. The end is reported by Owner::on_attempt_end().
  void start_attempt(RequestId request, std::size_t attempt, Duration timeout);
  // Writes a PING and waits for its response until `timeout` has passed. The connection must be idle. The end
  // is reported by Owner::on_health_check_end().
  void start_health_check(Duration timeout);
  // Closes the connection. An attempt or health check in flight on it ends with `outcome`.
  void close(UpstreamCloseReason reason, Outcome outcome);
  // Returns whether an idle connection can be used: there must be neither bytes nor an end of stream to read.
  // Closes the connection if it cannot be used.
  bool close_unless_usable();

  WorkerId worker() const { return worker_; }
  // When the connection became idle; Duration::max() while an attempt or a health check is in flight.
  Duration idle_since() const { return use_ == Use::idle ? use_since_ : Duration::max(); }

 private:
  // What the connection is currently used for.
  enum class Use { idle, attempt, health_check };

  void on_events(std::uint32_t events) override;
  void start(Use use, Duration timeout);
  void write_attempt();
  bool has_unwritten_command() const { return attempt_waits_for_connect_ || !stream_.all_written(); }
  bool attempt_has_expired(std::uint32_t events);
  void on_timeout();
  std::size_t on_bytes(std::string_view bytes);
  void wait_for_more_bytes(std::size_t received_bytes);
  bool on_reply(const resp::Reply& reply);
  bool on_health_check_reply(const resp::Reply& reply);
  bool on_error_reply(std::string_view error);
  bool on_value_reply(const resp::Reply& reply);
  void finish(Outcome outcome, std::string_view value = {}, double actual_units = 0);
  double actual_units(const resp::Reply& reply) const;
  std::size_t max_value_bytes() const;
  bool is_outdated() const { return owner_.is_outdated(worker_, opened_at_); }

  EventLoop& loop_;
  const ConnectionSettings& settings_;
  ResponseBufferBudget& budget_;
  Owner& owner_;
  WorkerId worker_;
  Address address_;
  TcpStream stream_;
  Timer timeout_timer_;
  Duration opened_at_;
  Use use_ = Use::idle;
  RequestId request_ = 0;                   // the request of the latest attempt
  std::size_t attempt_ = 0;                 // index of the latest attempt among the request's attempts
  Duration use_since_{0};                   // when the attempt, the health check or the idle time started
  Duration deadline_{0};                    // when the attempt or health check times out
  std::size_t commands_started_ = 0;        // number of attempts and health checks so far
  MemoryShare buffered_memory_;             // the memory of a response that is incomplete
  bool attempt_waits_for_connect_ = false;  // its command is written when the connection is established
  bool out_of_sync_ = false;  // it is unknown which command the next bytes received would answer
  bool closed_ = false;
};

}  // namespace ironquay::net
