#include "net/client_drain.hpp"

#include <algorithm>
#include <utility>

#include "net/client_connection.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// The load balancer in front of the gateways stops opening connections within 0.4 s after SIGTERM. Before
// kAcceptPeriod has passed since SIGTERM, the drain closes an idle connection only if the gateway has just
// responded to a command on it.
constexpr Duration kAcceptPeriod = 450ms;
constexpr Duration kCheckInterval = 20ms;
// After SIGTERM, the deployment platform waits for the longest client timeout (at most 3 s) plus 0.7 s before
// it may kill the process. Requests must be answered 0.3 s before that, to allow for responses in transit and
// for delays in the scheduling of the process.
constexpr Duration kMaxCountedClientTimeout = 3s;
constexpr Duration kKillDelay = 700ms;
constexpr Duration kResponseMargin = 300ms;
// How long a client that does not read its responses may delay the end of the drain. This is the time for
// which the system retransmits unacknowledged data (TCP_USER_TIMEOUT, see socket.cpp).
constexpr Duration kUnreadResponseTimeout = 20s;

}  // namespace

ClientDrain::ClientDrain(ClientContext& context, ClientAcceptor& acceptor)
    : context_(context),
      acceptor_(acceptor),
      longest_client_timeout_(longest_client_timeout(context.settings.policy_settings)),
      check_timer_(context.loop, [this] { check_progress(); }) {}

void ClientDrain::begin(std::function<void()> on_drained) {
  DrainState& drain = context_.drain;
  if (drain.is_draining) return;
  on_drained_ = std::move(on_drained);
  const Duration response_time =
      std::min(longest_client_timeout_, kMaxCountedClientTimeout) + kKillDelay - kResponseMargin;
  drain.is_draining = true;
  drain.began_at = context_.loop.now();
  drain.response_deadline = drain.began_at + response_time;
  drain.linger_timeout = std::max(ClientConnection::kLingerTimeout, longest_client_timeout_);
  for (ClientConnection* connection : context_.connections.active_snapshot())
    connection->shorten_deadlines(response_time);
  // If the gateway has never accepted connections, there are no clients to wait for.
  check_timer_.expire_after(acceptor_.is_started() ? kAcceptPeriod : 0s);
}

void ClientDrain::check_progress() {
  acceptor_.accept_pending();
  close_idle_connections();
  const bool accepting = may_receive_connections();
  // Closing the listening socket lets the next process bind the address while this one finishes its requests.
  if (!accepting) acceptor_.stop();
  if (accepting || context_.requests.pending() > 0 || must_wait_for_clients())
    return check_timer_.expire_after(kCheckInterval);
  std::exchange(on_drained_, nullptr)();
}

void ClientDrain::close_idle_connections() const {
  for (ClientConnection* connection : context_.connections.active_snapshot()) {
    if (connection->is_closed() || !connection->is_idle()) continue;
    // A command that has arrived since the last event must be processed before the connection is closed.
    if (!connection->nothing_to_read()) {
      connection->schedule_turn();
    } else {
      connection->begin_close(ClientCloseReason::draining);
    }
  }
}

// Whether the listening socket must stay open, because connections may be waiting in its backlog or may still
// arrive. Closing the socket would reset them.
bool ClientDrain::may_receive_connections() const {
  if (!acceptor_.is_started()) return false;
  if (acceptor_.has_backlog()) return true;
  const Duration last_activity = std::max(acceptor_.last_accepted_at(), context_.drain.began_at);
  return context_.loop.now() - last_activity < kAcceptPeriod;
}

// Whether the drain must wait because clients may still send on open connections. After kAcceptPeriod, it
// waits for at most the linger timeout if all received commands have been answered, and for a longer time
// otherwise.
bool ClientDrain::must_wait_for_clients() const {
  const ConnectionTable& connections = context_.connections;
  if (connections.empty()) return false;
  const bool has_unfinished_commands =
      std::any_of(connections.active().begin(), connections.active().end(),
                  [](const auto& connection) { return connection->has_unfinished_commands(); });
  const Duration linger = context_.drain.linger_timeout;
  const Duration longest_wait =
      kAcceptPeriod + (has_unfinished_commands ? std::max(linger, kUnreadResponseTimeout) : linger);
  return context_.loop.now() - context_.drain.began_at <= longest_wait;
}

}  // namespace ironquay::net
