#include "net/upstream_pool.hpp"

#include <algorithm>
#include <cerrno>

#include "net/attempt_command.hpp"
#include "net/log.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// How long a connection stays unused after a response. A worker may send a duplicate response or stray bytes
// up to 4 ms after a response, and on a reused connection these would be taken for the next response. This
// delay is five times those 4 ms. (docs/incidents/rare-faults.md)
constexpr Duration kReuseDelay = 20ms;
// How often connections that were idle for too long are closed.
constexpr Duration kIdleCheckInterval = 1s;

}  // namespace

UpstreamPool::UpstreamPool(EventLoop& loop, const ConnectionSettings& settings, const UpstreamLimits& limits,
                           Listener& listener)
    : loop_(loop),
      settings_(settings),
      max_connections_(std::max<std::size_t>(limits.max_connections, 1)),
      budget_{limits.buffer_bytes, 0},
      listener_(listener),
      idle_check_timer_(loop, [this] { close_expired_idle_connections(); }) {
  idle_check_timer_.expire_after(kIdleCheckInterval);
}

void UpstreamPool::set_endpoint(WorkerId id, const Address& address, Duration started_at) {
  WorkerId& owner = address_owners_.try_emplace(address_key(address), id).first->second;
  const WorkerId previous_owner = std::exchange(owner, id);
  if (previous_owner != id && same_address(workers_[previous_owner].address, address))
    forget_process(previous_owner);
  Worker& worker = workers_[id];
  if (same_address(worker.address, address) && worker.started_at == started_at) return;
  worker.address = address;
  worker.started_at = started_at;
  forget_process(id);
}

void UpstreamPool::forget_process(WorkerId id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  found->second.endpoint_changed_at = loop_.now();
  close_idle_connections(id);
}

// Closing one connection may cause others to be closed, so the index is checked again at each step.
void UpstreamPool::remove_worker(WorkerId id) {
  for (std::size_t i = connections_.size(); i-- > 0;) {
    if (i < connections_.size() && connections_[i]->worker() == id)
      connections_[i]->close(UpstreamCloseReason::endpoint_changed, Outcome::cancelled);
  }
  const auto owned = address_owners_.find(address_key(workers_[id].address));
  if (owned != address_owners_.end() && owned->second == id) address_owners_.erase(owned);
  workers_.erase(id);
}

void UpstreamPool::send_attempt(const Exchange& exchange, std::size_t attempt, WorkerId worker,
                                Duration timeout) {
  errno = 0;
  UpstreamConnection* connection = acquire_connection(worker);
  if (!connection) return on_send_failure(exchange, attempt, worker, errno);
  in_flight_.emplace(in_flight_key(exchange.id, attempt), connection);
  connection->start_attempt(exchange.id, attempt, timeout);
}

std::string_view UpstreamPool::attempt_command(RequestId request, Duration time_left) {
  command_.clear();
  const Exchange* exchange = listener_.find_request(request);
  if (exchange) append_attempt_command(command_, *exchange, time_left);
  return command_;
}

// If this gateway lacks descriptors or other resources, the outcome is not_sent, because such a failure says
// nothing about the health of the worker.
void UpstreamPool::on_send_failure(const Exchange& exchange, std::size_t attempt, WorkerId worker,
                                   int error) {
  const bool refused = error == ECONNREFUSED || error == EHOSTUNREACH;
  const auto reason = refused ? UpstreamCloseReason::connect_refused : UpstreamCloseReason::connection_limit;
  log("connection closed peer=worker addr=%s reason=%s errno=%d",
      to_string(workers_.at(worker).address).c_str(), to_string(reason), error);
  const Outcome outcome = refused ? Outcome::connect_failed : Outcome::not_sent;
  if (error == ECONNREFUSED) forget_process(worker);
  listener_.on_attempt_end({exchange.id, attempt, worker, outcome, Duration(0), {}, 0});
}

void UpstreamPool::cancel_attempt(RequestId request, std::size_t attempt) {
  const auto found = in_flight_.find(in_flight_key(request, attempt));
  if (found != in_flight_.end()) found->second->close(UpstreamCloseReason::cancelled, Outcome::cancelled);
}

void UpstreamPool::check_health(WorkerId worker) {
  UpstreamConnection* connection = acquire_connection(worker);
  if (!connection) return listener_.on_health_check_end(worker, Outcome::connect_failed, Duration(0));
  connection->start_health_check(settings_.connect_timeout);
}

void UpstreamPool::close_idle_connections(WorkerId id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  const std::vector<UpstreamConnection*>& idle = found->second.idle_connections;
  while (!idle.empty()) idle.back()->close(UpstreamCloseReason::endpoint_changed, Outcome::cancelled);
}

// Returns an idle connection or opens a new one. Returns null if neither is possible; errno then holds the
// reason, unless the reason is the connection limit.
UpstreamConnection* UpstreamPool::acquire_connection(WorkerId id) {
  Worker& worker = workers_.at(id);
  if (UpstreamConnection* idle = acquire_idle_connection(worker)) return idle;
  if (connections_.size() >= max_connections_ && !evict_idle_connection()) return nullptr;
  return open_connection(id, worker);
}

UpstreamConnection* UpstreamPool::acquire_idle_connection(Worker& worker) {
  std::vector<UpstreamConnection*>& idle = worker.idle_connections;
  const Duration latest_idle_start = loop_.now() - kReuseDelay;
  for (std::size_t i = idle.size(); i-- > 0;) {
    // close_unless_usable() closes unusable connections, which removes them from the vector.
    if (i >= idle.size() || idle[i]->idle_since() > latest_idle_start) continue;
    UpstreamConnection* connection = idle[i];
    if (!connection->close_unless_usable()) continue;
    std::erase(idle, connection);
    return connection;
  }
  return nullptr;
}

// Returns null on failure, with the reason in errno.
UpstreamConnection* UpstreamPool::open_connection(WorkerId id, const Worker& worker) {
  FileDescriptor fd = connect_tcp(worker.address);
  if (!fd) return nullptr;
  UpstreamConnection::Owner& owner = *this;
  connections_.push_back(std::make_unique<UpstreamConnection>(loop_, settings_, budget_, owner, id,
                                                              std::move(fd), worker.address));
  return connections_.back().get();
}

// Closes the connection that has been idle for the longest time. Returns false if none is idle.
bool UpstreamPool::evict_idle_connection() {
  const auto oldest = std::min_element(
      connections_.begin(), connections_.end(),
      [](const auto& left, const auto& right) { return left->idle_since() < right->idle_since(); });
  if (oldest == connections_.end() || (*oldest)->idle_since() == Duration::max()) return false;
  (*oldest)->close(UpstreamCloseReason::connection_limit, Outcome::cancelled);
  return true;
}

// Closes the connections that have been idle for half of the idle timeout. A worker closes a connection at
// the latest when it has been idle for the whole timeout, and the gateway closes it well before that.
void UpstreamPool::close_expired_idle_connections() {
  idle_check_timer_.expire_after(kIdleCheckInterval);
  const Duration earliest_idle_start = loop_.now() - settings_.idle_timeout / 2;
  for (std::size_t i = connections_.size(); i-- > 0;) {
    if (i < connections_.size() && connections_[i]->idle_since() < earliest_idle_start)
      connections_[i]->close(UpstreamCloseReason::idle_timeout, Outcome::cancelled);
  }
}

bool UpstreamPool::is_outdated(WorkerId worker, Duration opened_at) const {
  return opened_at < workers_.at(worker).endpoint_changed_at;
}

void UpstreamPool::on_connect_refused(WorkerId worker) { forget_process(worker); }

bool UpstreamPool::may_send_attempt(RequestId request, std::size_t attempt) {
  return listener_.may_send_attempt(request, attempt);
}

void UpstreamPool::on_connection_idle(UpstreamConnection& connection) {
  workers_.at(connection.worker()).idle_connections.push_back(&connection);
}

void UpstreamPool::on_connection_closed(UpstreamConnection& connection) {
  std::erase(workers_.at(connection.worker()).idle_connections, &connection);
  const auto entry = std::find_if(connections_.begin(), connections_.end(),
                                  [&](const auto& candidate) { return candidate.get() == &connection; });
  loop_.destroy_later(std::move(*entry));
  std::swap(*entry, connections_.back());
  connections_.pop_back();
}

void UpstreamPool::on_attempt_end(const AttemptEnd& end) {
  in_flight_.erase(in_flight_key(end.request, end.attempt));
  listener_.on_attempt_end(end);
}

void UpstreamPool::on_health_check_end(WorkerId worker, Outcome outcome, Duration elapsed) {
  listener_.on_health_check_end(worker, outcome, elapsed);
}

// Combines a request and an attempt into one key. A request has far fewer than 256 attempts.
std::uint64_t UpstreamPool::in_flight_key(RequestId request, std::size_t attempt) {
  return request << 8 | (attempt & 255);
}

}  // namespace ironquay::net
