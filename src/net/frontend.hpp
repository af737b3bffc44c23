// The client side of the gateway: accepts client connections, passes their requests to a listener, and
// returns the responses.
#pragma once
#include <cstddef>
#include <functional>

#include "config/settings_decoder.hpp"
#include "net/client_acceptor.hpp"
#include "net/client_context.hpp"
#include "net/client_drain.hpp"
#include "net/event_loop.hpp"
#include "net/request_listener.hpp"
#include "net/socket.hpp"

namespace ironquay::net {

class Frontend {
 public:
  using Listener = RequestListener;

  // Binds the address. Connections are refused until start_accepting(). The frontend uses about
  // `max_connections` file descriptors at most. It rejects requests while the requests and responses that it
  // holds exceed `memory_limit_bytes`, and incomplete commands while they exceed half of it. The loop, the
  // settings and the listener must outlive the frontend.
  // Throws std::system_error if the address cannot be bound.
  Frontend(EventLoop& loop, const Address& address, const DecodedSettings& settings,
           std::size_t max_connections, std::size_t memory_limit_bytes, Listener& listener);

  // Starts listening for connections. Does nothing if the frontend is already listening or draining. Throws
  // std::system_error.
  void start_accepting();
  // The state of the client connections, for the log.
  const ClientContext& state() const { return context_; }
  // Starts a graceful shutdown (see ClientDrain) and calls `on_drained` once, when it is complete.
  void drain(std::function<void()> on_drained);

 private:
  ClientContext context_;
  ClientAcceptor acceptor_;
  ClientDrain drain_;
};

}  // namespace ironquay::net
