// Graceful shutdown of the client side.
#pragma once
#include <functional>

#include "net/client_acceptor.hpp"
#include "net/client_context.hpp"
#include "net/timer.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// Shuts the client side down without losing requests. It accepts connections for as long as the load balancer
// in front of the gateways may still open some, closes each connection only between two commands, and makes
// sure that every request is answered before the deployment platform may kill the process.
class ClientDrain {
 public:
  ClientDrain(ClientContext& context, ClientAcceptor& acceptor);

  // Starts draining and calls `on_drained` once, when the drain is complete. Does nothing if the drain has
  // already begun.
  void begin(std::function<void()> on_drained);

 private:
  void check_progress();
  void close_idle_connections() const;
  bool may_receive_connections() const;
  bool must_wait_for_clients() const;

  ClientContext& context_;
  ClientAcceptor& acceptor_;
  Duration longest_client_timeout_{0};  // the longest client timeout of any route
  std::function<void()> on_drained_;
  Timer check_timer_;
};

}  // namespace ironquay::net
