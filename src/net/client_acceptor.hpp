// The listening socket for client connections.
#pragma once
#include <cstdint>
#include <optional>

#include "net/backlog_clock.hpp"
#include "net/client_context.hpp"
#include "net/event_loop.hpp"
#include "net/file_descriptor.hpp"
#include "net/socket.hpp"
#include "net/timer.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// Accepts connections within the limits of ConnectionLimiter. Connections over the limits wait in the
// system's backlog.
class ClientAcceptor : EventLoop::Handler {
 public:
  // Binds the address. Connections are refused until start(). The context must outlive the acceptor. Throws
  // std::system_error if the address cannot be bound.
  ClientAcceptor(ClientContext& context, const Address& address);
  ~ClientAcceptor() override;
  ClientAcceptor(const ClientAcceptor&) = delete;
  ClientAcceptor& operator=(const ClientAcceptor&) = delete;

  // Starts listening. Does nothing if the acceptor has been started before. Throws std::system_error.
  void start();
  // Accepts connections from the backlog. Does nothing before start() and after stop().
  void accept_pending();
  // Closes the listening socket, so that another process can bind the address. Connections in the system's
  // backlog are reset.
  void stop() { socket_ = FileDescriptor(); }

  bool is_started() const { return token_.has_value(); }
  // Whether connections may be waiting in the backlog because they could not be accepted.
  bool has_backlog() const { return blocked_; }
  // The time at which a connection was last accepted; zero if none has been.
  Duration last_accepted_at() const { return last_accepted_at_; }

 private:
  void on_events(std::uint32_t events) override;
  bool ensure_capacity();
  void on_accept_error(int error);
  void observe_backlog();
  void on_connection_closed();

  ClientContext& context_;
  Address address_;
  FileDescriptor socket_;
  std::optional<EventLoop::Token> token_;  // identifies the listening socket in the loop; set by start()
  bool blocked_ = false;  // accepting has stopped before the backlog was empty, and is tried again
  BacklogClock backlog_clock_;
  Duration last_accepted_at_{0};
  Timer retry_timer_;
};

}  // namespace ironquay::net
