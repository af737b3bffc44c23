// A server whose accept queue is full, so that connections to it are established with a delay.
#pragma once
#include <arpa/inet.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "test_server.hpp"

namespace ironquay::net {

/// A listening server whose accept queue is full. A connection to it is established only after
/// free_backlog(), when the connecting system retransmits its SYN, about a second after the first one.
class FullBacklogServer {
 public:
  FullBacklogServer() : fd_(bind_tcp(any_port())), address_(address_of(fd_)) {
    REQUIRE(listen(fd_.get(), 0) == 0);
    filler_ = connect_tcp(address_);
    REQUIRE(readable(fd_, kWaitTimeout));
  }

  std::string address() const { return to_string(address_); }
  /// Waits until a SYN has been sent to this server and not answered yet.
  void wait_for_pending_connect() const {
    REQUIRE(wait_until([&] { return connect_is_pending(); }, 5ms));
  }
  /// Accepts the connection that fills the queue.
  void free_backlog() { accept(); }
  /// Accepts a connection; fails the test if there is none within kWaitTimeout.
  TestConnection accept() {
    REQUIRE(readable(fd_, kWaitTimeout));
    Address peer;
    return TestConnection(accept_connection(fd_, peer));
  }

 private:
  /// Whether the system's table of TCP sockets contains one in state 02 (SYN sent) with this server's port as
  /// its remote port.
  bool connect_is_pending() const {
    std::array<char, 16> pattern;
    std::snprintf(pattern.data(), pattern.size(), ":%04X 02 ", ntohs(address_.sin_port));
    std::ostringstream table;
    table << std::ifstream("/proc/net/tcp").rdbuf();
    return table.str().find(pattern.data()) != std::string::npos;
  }

  FileDescriptor fd_;
  FileDescriptor filler_;  // the connection that fills the queue
  Address address_{};
};

}  // namespace ironquay::net
