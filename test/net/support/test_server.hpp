// A listening socket to which the gateway connects.
#pragma once
#include <sys/socket.h>

#include <string>

#include "test_connection.hpp"

namespace ironquay::net {

/// An address with port 0. When it is bound, the system chooses a free port.
inline Address any_port(const char* host = "127.0.0.1") {
  Address address = *parse_address(std::string(host) + ":1");
  address.sin_port = 0;
  return address;
}

/// The local address that the socket is bound to.
inline Address address_of(const FileDescriptor& fd) {
  Address address{};
  socklen_t size = sizeof address;
  REQUIRE(getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size) == 0);
  return address;
}

/// A server on a free port of 127.0.0.1. The test accepts each connection explicitly.
class TestServer {
 public:
  TestServer() : fd_(listen_tcp(any_port())), address_(address_of(fd_)) {}

  /// The address as "host:port". Available also after close().
  std::string address() const { return to_string(address_); }
  /// Waits up to `timeout` for a connection to accept. Returns whether there is one.
  bool has_connection_within(Milliseconds timeout) const { return readable(fd_, timeout); }
  /// Waits for the next connection; fails the test if there is none within kWaitTimeout.
  TestConnection accept() const {
    if (!has_connection_within(kWaitTimeout)) FAIL("the gateway did not connect");
    Address peer;
    return TestConnection(accept_connection(fd_, peer));
  }
  /// Stops listening. New connections are refused from then on.
  void close() { fd_ = FileDescriptor(); }
  const FileDescriptor& fd() const { return fd_; }

 private:
  FileDescriptor fd_;
  Address address_{};
};

}  // namespace ironquay::net
