// One connection to the counter service. Calls are pipelined: several may be pending at a time, and the
// service answers them in the order in which they were written.
#pragma once
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.hpp"
#include "net/resp.hpp"
#include "net/socket.hpp"
#include "net/tcp_stream.hpp"
#include "net/timer.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// Why a connection to the counter service was closed.
enum class CounterCloseReason {
  connect_refused,
  connect_timed_out,
  malformed_response,  // the response was unreadable or incomplete, or no call was pending
  closed_by_server,
  reset_by_server,
  inactive,         // no response was received for several call timeouts while calls were pending
  address_changed,  // the configured address of the counter service has changed
};
// Returns the reason code that is written to the log.
const char* to_string(CounterCloseReason reason);

// How a call to the counter service ended.
struct CounterResult {
  std::string name;
  Outcome outcome = Outcome::connection_lost;
  double total = 0;  // the count after the addition, in units; 0 unless the call succeeded
};

class CounterConnection : public EventLoop::Handler {
 public:
  // The client that owns the connection.
  class Owner {
   public:
    virtual ~Owner() = default;
    // A call has been answered or has timed out.
    virtual void on_counter_result(const CounterConnection& connection, CounterResult result) = 0;
    // The connection is closed, and its pending calls have ended with `results`. The owner destroys it
    // after the current iteration of the event loop. `has_responded` is whether any bytes of a response to a
    // call were received on the connection.
    virtual void on_connection_end(CounterConnection& connection, bool has_responded,
                                   std::vector<CounterResult> results) = 0;
  };

  // `fd` is a socket that is connecting to `address`. The connection must be established within
  // `call_timeout`, and each call must be answered within `call_timeout` after it was added.
  CounterConnection(EventLoop& loop, const Address& address, FileDescriptor fd, Duration call_timeout,
                    Owner& owner);

  // Writes `command`, the RESP command of a call that adds to the count `name`. The name must not be empty.
  void add(std::string_view name, std::string_view command);
  // Whether a call for the count `name` has not ended yet.
  bool has_pending_call(std::string_view name) const;
  // The number of calls without a response, including those that have timed out.
  std::size_t pending_calls() const { return calls_.size(); }
  // Closes the connection as soon as no call is pending.
  void drain();
  // Closes the connection and reports the pending calls through Owner::on_connection_end().
  void close(CounterCloseReason reason);

 private:
  struct Call {
    std::string name;  // empty for a heartbeat
    Duration deadline{0};
    std::size_t end_offset = 0;  // number of bytes enqueued on this connection up to the end of this call
    bool reported = false;       // whether its result was reported; a later response is read and dropped
  };

  void on_events(std::uint32_t events) override;
  void write(Call call, std::string_view command);
  void on_heartbeat_timer();
  void on_call_timeout();
  std::size_t on_bytes(std::string_view bytes);
  bool on_reply(const resp::Reply& reply);
  bool all_reported() const;
  void close_if_drained();

  EventLoop& loop_;
  Address address_;
  Duration call_timeout_;
  Owner& owner_;
  TcpStream stream_;
  std::deque<Call> calls_;          // the calls without a response, oldest first
  std::size_t enqueued_bytes_ = 0;  // bytes written or buffered for writing
  std::size_t responses_ = 0;       // number of responses received
  Duration last_response_at_;       // time of the last response, or of the first call written after it
  Timer call_timer_;                // fires when the connect or the oldest unreported call times out
  Timer heartbeat_timer_;           // fires when a heartbeat or a check for inactivity is due
  Timer response_gap_timer_;        // fires when the rest of an incomplete response is late
  bool has_responded_ = false;
  bool malformed_ = false;
  bool draining_ = false;
  bool closed_ = false;
};

}  // namespace ironquay::net
