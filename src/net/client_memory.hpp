// Accounting of the memory that the client side uses for requests and responses.
#pragma once
#include <cstddef>

namespace ironquay::net {

// Amounts are in bytes.
struct ClientMemory {
  std::size_t limit_bytes = 0;
  std::size_t in_flight_bytes = 0;  // open requests, and responses buffered until earlier ones are written
  std::size_t unwritten_bytes = 0;  // written responses that the system has not accepted yet

  bool is_exceeded() const { return in_flight_bytes + unwritten_bytes > limit_bytes; }
};

}  // namespace ironquay::net
