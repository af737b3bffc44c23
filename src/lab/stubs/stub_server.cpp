#include "lab/stubs/stub_server.hpp"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace ironquay::lab {

StubServer::StubServer(net::EventLoop& loop, const net::Address& address, OnBytes on_bytes)
    : loop_(loop), socket_(net::listen_tcp(address)), on_bytes_(std::move(on_bytes)) {
  if (!socket_)
    throw std::system_error(errno, std::generic_category(), "listening at " + net::to_string(address));
  token_ = loop.watch(socket_.get(), *this);
}

StubServer::~StubServer() { loop_.unwatch(token_); }

std::string StubServer::address() const {
  net::Address address{};
  socklen_t size = sizeof address;
  getsockname(socket_.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return net::to_string(address);
}

void StubServer::on_events(std::uint32_t) {
  net::Address peer{};
  while (net::FileDescriptor fd = net::accept_connection(socket_, peer))
    connections_.push_back(std::make_unique<Connection>(*this, ++last_id_, std::move(fd)));
}

StubServer::Connection* StubServer::find_connection(std::uint64_t id) {
  for (const auto& connection : connections_)
    if (connection->id() == id) return connection.get();
  return nullptr;
}

void StubServer::disconnect_all() {
  while (!connections_.empty()) close(*connections_.front());
}

void StubServer::close(Connection& connection) {
  if (std::exchange(connection.closed_, true)) return;
  connection.stream_.close();
  const auto owned = std::find_if(connections_.begin(), connections_.end(),
                                  [&](const auto& candidate) { return candidate.get() == &connection; });
  loop_.destroy_later(std::move(*owned));
  connections_.erase(owned);
}

void StubServer::Connection::on_events(std::uint32_t events) {
  stream_.make_progress(events);
  bool close_requested = false;
  stream_.read(events, [&](std::string_view bytes) {
    if (server_.unresponsive_ || closed_) return bytes.size();
    const std::size_t consumed = server_.on_bytes_(*this, bytes);
    close_requested = consumed == kCloseConnection;
    return close_requested ? bytes.size() : consumed;
  });
  if (!closed_ && (close_requested || stream_.has_ended(events))) server_.close(*this);
}

}  // namespace ironquay::lab
