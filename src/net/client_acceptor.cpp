#include "net/client_acceptor.hpp"

#include <cerrno>
#include <memory>
#include <system_error>

#include "net/client_connection.hpp"
#include "net/log.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// After this many connections, events of other descriptors are handled before more are accepted.
constexpr int kMaxAcceptsPerEvent = 64;
// The delay before accept_pending() is called again when the system is out of descriptors or memory.
constexpr Duration kAcceptErrorRetryDelay = 50ms;
// The delay before accept_pending() is called again when no connection can be accepted until another one has
// lingered for kMinLinger.
constexpr Duration kLingerRetryDelay = ClientConnection::kMinLinger / 5;

// Errors of the connection that was to be accepted, and interruptions. Others may be waiting behind it.
bool is_transient_accept_error(int error) {
  switch (error) {
    case EINTR:
    case ECONNABORTED:
    case ENETDOWN:
    case EPROTO:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case EPERM:
      return true;
    default:
      return false;
  }
}

[[noreturn]] void throw_listen_error(const Address& address) {
  throw std::system_error(errno, std::generic_category(), "listening at " + to_string(address));
}

}  // namespace

ClientAcceptor::ClientAcceptor(ClientContext& context, const Address& address)
    : context_(context),
      address_(address),
      socket_(bind_tcp(address)),
      backlog_clock_(context.loop.now()),
      retry_timer_(context.loop, [this] { accept_pending(); }) {
  if (!socket_) throw_listen_error(address_);
  context_.on_connection_closed = [this] { on_connection_closed(); };
}

ClientAcceptor::~ClientAcceptor() {
  if (token_) context_.loop.unwatch(*token_);
}

void ClientAcceptor::start() {
  if (token_) return;
  if (!start_listening(socket_)) throw_listen_error(address_);
  token_ = context_.loop.watch(socket_.get(), *this);
}

void ClientAcceptor::on_events(std::uint32_t) { accept_pending(); }

void ClientAcceptor::accept_pending() {
  if (!socket_ || !token_) return;
  observe_backlog();
  blocked_ = true;
  for (int accepts = 0; accepts < kMaxAcceptsPerEvent; ++accepts) {
    if (!ensure_capacity()) return;
    Address peer{};
    FileDescriptor socket = accept_connection(socket_, peer);
    if (!socket) {
      // The connection was aborted while it was waiting, or a signal interrupted the call.
      if (is_transient_accept_error(errno)) continue;
      if (errno != EAGAIN) return on_accept_error(errno);
      backlog_clock_.on_length(context_.loop.now(), 0);
      blocked_ = false;
      return;
    }
    last_accepted_at_ = context_.loop.now();
    context_.connections.add(
        std::make_unique<ClientConnection>(context_, std::move(socket), peer, backlog_clock_.on_accepted()));
  }
  context_.loop.requeue(*token_, EPOLLIN);
}

// Returns whether a connection can be accepted now. If not, arranges a retry.
bool ClientAcceptor::ensure_capacity() {
  const ConnectionLimiter::Capacity capacity = context_.limiter.ensure_capacity();
  if (capacity == ConnectionLimiter::Capacity::available) return true;
  // If the capacity is exhausted, on_connection_closed() arranges the retry.
  if (capacity == ConnectionLimiter::Capacity::pending_linger) retry_timer_.expire_after(kLingerRetryDelay);
  return false;
}

void ClientAcceptor::on_accept_error(int error) {
  if (!retry_timer_.is_active()) {
    log("accept failed errno=%d connections=%zu", error, context_.connections.active().size());
    retry_timer_.expire_after(kAcceptErrorRetryDelay);
  }
}

// Notes how many connections are waiting. An event would have told of another one that came before this
// iteration.
void ClientAcceptor::observe_backlog() {
  const EventLoop& loop = context_.loop;
  backlog_clock_.on_no_arrival_until(loop.now() - loop.scheduling_delay());
  const Duration time = loop.precise_now();
  const std::optional<std::size_t> length = is_readable(socket_) ? backlog_length(socket_) : 0;
  length ? backlog_clock_.on_length(time, *length) : backlog_clock_.on_unknown_length();
}

void ClientAcceptor::on_connection_closed() {
  if (blocked_) context_.loop.requeue(*token_, EPOLLIN);
}

}  // namespace ironquay::net
