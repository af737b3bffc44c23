#include "net/socket.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <chrono>
#include <thread>

#include "net/system_call.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// Binding is retried because the previous process may hold the address until it exits.
constexpr std::chrono::milliseconds kBindTimeout = 5000ms;
constexpr std::chrono::milliseconds kBindRetryInterval = 20ms;

// How long the system waits for an acknowledgement of sent data before it closes the connection. This detects
// a client that became unreachable while a response was in transit; client timeouts are shorter.
constexpr unsigned kTcpUserTimeoutMs = 20'000;

void disable_nagle(const FileDescriptor& socket) {
  const int on = 1;
  setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

const sockaddr* as_sockaddr(const Address& address) { return reinterpret_cast<const sockaddr*>(&address); }

// Waits for resources that another process may release. Used at startup only, because it blocks.
template <typename Call>
FileDescriptor retry_shortage(Call call) {
  auto total_wait = kBindRetryInterval;
  while (true) {
    FileDescriptor result = call();
    if (result || !is_resource_shortage(errno) || total_wait > kBindTimeout) return result;
    std::this_thread::sleep_for(kBindRetryInterval);
    total_wait += kBindRetryInterval;
  }
}

FileDescriptor create_socket(int type) {
  return FileDescriptor(socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

bool bind_with_retry(const FileDescriptor& socket, const Address& address) {
  auto total_wait = kBindRetryInterval;
  while (bind(socket.get(), as_sockaddr(address), sizeof address) != 0) {
    if (errno != EADDRINUSE || total_wait > kBindTimeout) return false;
    std::this_thread::sleep_for(kBindRetryInterval);
    total_wait += kBindRetryInterval;
  }
  return true;
}

}  // namespace

std::optional<Address> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Address address{};
  address.sin_family = AF_INET;
  const std::string host(text.substr(0, colon));
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) return std::nullopt;
  std::uint16_t port = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (error != std::errc() || end != last || port == 0) return std::nullopt;
  address.sin_port = htons(port);
  return address;
}

std::string to_string(const Address& address) {
  char host[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ':' + std::to_string(ntohs(address.sin_port));
}

std::uint64_t address_key(const Address& address) {
  return std::uint64_t{ntohl(address.sin_addr.s_addr)} << 16 | ntohs(address.sin_port);
}

bool same_address(const Address& a, const Address& b) { return address_key(a) == address_key(b); }

FileDescriptor bind_tcp(const Address& address) {
  FileDescriptor socket = retry_shortage([] { return create_socket(SOCK_STREAM); });
  if (!socket) return FileDescriptor();
  const int on = 1;
  if (setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0) return FileDescriptor();
  if (!bind_with_retry(socket, address)) return FileDescriptor();
  return socket;
}

bool start_listening(const FileDescriptor& socket) { return listen(socket.get(), SOMAXCONN) == 0; }

FileDescriptor listen_tcp(const Address& address) {
  FileDescriptor socket = bind_tcp(address);
  if (!socket || !start_listening(socket)) return FileDescriptor();
  return socket;
}

FileDescriptor accept_connection(const FileDescriptor& listener, Address& peer) {
  socklen_t size = sizeof peer;
  auto* const peer_address = reinterpret_cast<sockaddr*>(&peer);
  FileDescriptor socket(accept4(listener.get(), peer_address, &size, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket) return socket;
  disable_nagle(socket);
  setsockopt(socket.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs, sizeof kTcpUserTimeoutMs);
  return socket;
}

bool is_readable(const FileDescriptor& socket) {
  pollfd state{socket.get(), POLLIN, 0};
  return retry_interrupted([&] { return poll(&state, 1, 0); }) > 0;
}

// For a listening socket, the field of unacknowledged segments is the length of the backlog.
std::optional<std::size_t> backlog_length(const FileDescriptor& listener) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(listener.get(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  if (info.tcpi_state != TCP_LISTEN || info.tcpi_unacked == 0) return std::nullopt;
  return info.tcpi_unacked;
}

FileDescriptor connect_tcp(const Address& address) {
  FileDescriptor socket = create_socket(SOCK_STREAM);
  if (!socket) return socket;
  disable_nagle(socket);
  // After an interruption the connect may be in progress or complete already.
  const int result =
      retry_interrupted([&] { return connect(socket.get(), as_sockaddr(address), sizeof address); });
  const bool started = result == 0 || errno == EINPROGRESS || errno == EALREADY || errno == EISCONN;
  return started ? std::move(socket) : FileDescriptor();
}

FileDescriptor bind_udp(const Address& address) {
  FileDescriptor socket = retry_shortage([] { return create_socket(SOCK_DGRAM); });
  if (!socket || !bind_with_retry(socket, address)) return FileDescriptor();
  return socket;
}

}  // namespace ironquay::net
