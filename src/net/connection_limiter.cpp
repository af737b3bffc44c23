#include "net/connection_limiter.hpp"

#include <algorithm>

#include "net/client_connection.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// How many half-closed connections may exist in addition to the connection limit. They use a third of the
// descriptors that are reserved for the program itself.
constexpr std::size_t kExtraLingeringConnections = 8;
// A connection without an open request may be closed after this time. If its client has sent a complete
// command and no part of another, it is closed only while more than half of the connection limit is in use.
constexpr Duration kIdleTimeout = 2s;
constexpr Duration kCheckInterval = 250ms;
// The limit on connections that have carried requests, as a fraction of the connection limit. If they use
// more than a third of the file descriptors, the deployment platform routes no further clients to this
// gateway. The limit is three quarters of that third. This is about a quarter of the descriptors, or two
// fifths of the connection limit, which is five eighths of the descriptors that connections may use (see
// gateway.cpp). Above the limit, the idle connection that was used least recently is closed.
constexpr std::size_t kRequestConnectionsNumerator = 2;
constexpr std::size_t kRequestConnectionsDenominator = 5;

}  // namespace

ConnectionLimiter::ConnectionLimiter(EventLoop& loop, ConnectionTable& connections,
                                     const ClientMemory& memory, std::size_t max_connections)
    : loop_(loop),
      connections_(connections),
      memory_(memory),
      max_connections_(std::max<std::size_t>(max_connections, 1)),
      check_timer_(loop, [this] { check_connections(); }) {
  check_timer_.expire_after(kCheckInterval);
}

ConnectionLimiter::Capacity ConnectionLimiter::ensure_capacity() {
  const ConnectionTable::List& active = connections_.active();
  const ConnectionTable::List& lingering = connections_.lingering();
  const bool descriptors_exhausted =
      active.size() + lingering.size() >= max_connections_ + kExtraLingeringConnections;
  if (descriptors_exhausted && lingering.empty()) return Capacity::exhausted;
  if (descriptors_exhausted && !lingering.front()->is_idle_for(ClientConnection::kMinLinger))
    return Capacity::pending_linger;
  const bool full = active.size() >= max_connections_;
  ClientConnection* evicted = full ? eviction_candidate() : nullptr;
  if (full && !evicted) return Capacity::exhausted;
  if (descriptors_exhausted) lingering.front()->close(ClientCloseReason::linger_expired);
  if (evicted) evicted->begin_close(ClientCloseReason::connection_limit);
  return Capacity::available;
}

// Returns the least recently used connection from the first of these groups that is not empty: idle for
// kIdleTimeout, idle with at least one command received, idle, waiting for the rest of a command. Returns
// null if all groups are empty. A connection with unread input is never evicted, because the input may be a
// command.
ClientConnection* ConnectionLimiter::eviction_candidate() const {
  ClientConnection* candidate = find_evictable(
      [](const auto& connection) { return connection.is_idle() && connection.is_idle_for(kIdleTimeout); });
  if (candidate) return candidate;
  candidate = find_evictable(
      [](const auto& connection) { return connection.is_idle() && connection.has_sent_command(); });
  if (candidate) return candidate;
  candidate = find_evictable([](const auto& connection) { return connection.is_idle(); });
  if (candidate) return candidate;
  return find_evictable([](const auto& connection) { return connection.has_incomplete_command(); });
}

template <typename Predicate>
ClientConnection* ConnectionLimiter::find_evictable(Predicate predicate) const {
  for (const auto& connection : connections_.active()) {
    if (connection->is_closing() || !connection->all_responses_written()) continue;
    if (predicate(*connection) && connection->nothing_to_read()) return connection.get();
  }
  return nullptr;
}

void ConnectionLimiter::on_request_connection_added() {
  const std::size_t limit = max_connections_ * kRequestConnectionsNumerator / kRequestConnectionsDenominator;
  if (++request_connections_ <= limit) return;
  for (const auto& connection : connections_.active()) {
    if (!connection->has_sent_request() || !connection->is_idle() || !connection->nothing_to_read()) continue;
    return connection->begin_close(ClientCloseReason::request_connection_limit);
  }
}

void ConnectionLimiter::reject_incomplete_commands() {
  for (ClientConnection* connection : connections_.active_snapshot()) {
    if (!memory_.input_is_exceeded()) return;
    if (connection->has_incomplete_command()) connection->reject_incomplete_command();
  }
}

void ConnectionLimiter::check_connections() {
  check_timer_.expire_after(kCheckInterval);
  end_slow_readers();
  resume_paused_connections();
  close_idle_connections();
}

// Ends clients that do not read their responses while memory is scarce, those that were used least recently
// first, until it is not scarce any more.
void ConnectionLimiter::end_slow_readers() {
  for (ClientConnection* connection : connections_.active_snapshot()) {
    const bool is_slow = connection->is_slow_reader();
    if (is_slow && memory_.is_scarce()) connection->end_slow_reader();
  }
}

// A connection that was paused for lack of memory may be resumed after other connections have released some.
void ConnectionLimiter::resume_paused_connections() {
  for (const auto& connection : connections_.active()) connection->resume_reading_if_possible();
}

void ConnectionLimiter::close_idle_connections() {
  std::size_t open_connections = connections_.active().size();
  for (ClientConnection* connection : connections_.active_snapshot()) {
    if (connection->is_closing() || !connection->all_responses_written()) continue;
    if (!connection->is_idle_for(kIdleTimeout)) continue;
    const bool has_incomplete_command = connection->has_incomplete_command();
    const bool may_stay_idle = !has_incomplete_command && connection->has_sent_command();
    if (may_stay_idle && open_connections <= max_connections_ / 2) continue;
    if (!connection->nothing_to_read()) continue;
    --open_connections;
    connection->begin_close(has_incomplete_command           ? ClientCloseReason::incomplete_command
                            : connection->has_sent_command() ? ClientCloseReason::idle
                                                             : ClientCloseReason::no_command);
  }
}

}  // namespace ironquay::net
