// Accounting of the memory that the client side uses for requests and responses.
#pragma once
#include <cstddef>

namespace ironquay::net {

// The memory in use on the client side, and its limit.
struct ClientMemory {
  std::size_t limit_bytes = 0;
  std::size_t in_flight_bytes = 0;  // open requests, and responses that wait for earlier responses
  std::size_t unwritten_bytes = 0;  // responses in TcpStream buffers, which the system has not accepted yet

  bool is_exceeded() const { return in_flight_bytes + unwritten_bytes > limit_bytes; }
};

}  // namespace ironquay::net
