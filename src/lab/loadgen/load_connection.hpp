// A connection of the load generator to a gateway.
#pragma once
#include <cstdint>
#include <string_view>

#include "lab/loadgen/load_totals.hpp"
#include "lab/loadgen/request_factory.hpp"
#include "net/event_loop.hpp"
#include "net/socket.hpp"
#include "net/tcp_stream.hpp"
#include "net/timer.hpp"

namespace ironquay::lab {

// Carries one request at a time. The first request may be sent immediately after the construction, and each
// further one after Listener::on_idle().
class LoadConnection : public net::EventLoop::Handler {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // The request that was scheduled for `scheduled_at` has ended.
    virtual void on_request_end(const LoadRequest& request, Duration scheduled_at,
                                LoadRequestOutcome outcome) = 0;
    // The connection is ready for the next request.
    virtual void on_idle(LoadConnection& connection) = 0;
    // The connection has ended. The listener must destroy it, but only after the current event has been
    // handled.
    virtual void on_closed(LoadConnection& connection) = 0;
  };

  // `gateway_index` is the index of the gateway. `fd` is a socket whose connect may still be in progress; the
  // connection takes ownership of it. `loop` and `listener` must outlive the connection.
  LoadConnection(net::EventLoop& loop, Listener& listener, std::size_t gateway_index, net::FileDescriptor fd);

  // Sends `command`, the encoded form of a request that was scheduled for `scheduled_at`. If there is no
  // response before `deadline`, the request ends as lost and the connection is closed.
  void send(const LoadRequest& request, Duration scheduled_at, Duration deadline, std::string_view command);
  // Returns the index of the gateway.
  std::size_t gateway_index() const { return gateway_index_; }

 private:
  void on_events(std::uint32_t events) override;
  std::size_t on_bytes(std::string_view bytes);
  void end_request(LoadRequestOutcome outcome);
  void end_request_and_close(LoadRequestOutcome outcome);

  Listener& listener_;
  std::size_t gateway_index_;
  net::TcpStream stream_;
  net::Timer timeout_;
  LoadRequest request_;  // the current or last request
  Duration scheduled_at_{0};
  bool in_flight_ = false;
  bool closed_ = false;
};

}  // namespace ironquay::lab
