// Accounting of the memory that the client side uses for input, requests and responses.
#pragma once
#include <cstddef>

namespace ironquay::net {

// The memory in use on the client side, and its limits. All values are in bytes and count what is allocated.
struct ClientMemory {
  // The limit on requests and responses. Input is limited separately, so that clients that do not complete
  // their commands do not cause the requests of other clients to be rejected.
  std::size_t limit_bytes = 0;
  std::size_t connection_share_bytes = 0;  // the limit divided by the number of connections
  std::size_t input_bytes = 0;  // received bytes that are kept: incomplete commands, and unprocessed ones
  // Commands until they are destroyed, and responses that wait for the responses to earlier commands.
  std::size_t in_flight_bytes = 0;
  std::size_t unwritten_bytes = 0;  // responses in TcpStream buffers, which the system has not accepted yet

  // The memory that counts against `limit_bytes`.
  std::size_t used_bytes() const { return in_flight_bytes + unwritten_bytes; }
  bool is_exceeded() const { return used_bytes() > limit_bytes; }
  // Whether over half of the limit is in use. The other half is kept for connections without a pending
  // command.
  bool is_scarce() const { return used_bytes() > limit_bytes / 2; }
  // Whether a further response can be kept until the responses to earlier commands are written.
  bool has_room_for_response(std::size_t bytes) const { return used_bytes() + bytes <= limit_bytes; }
  // Whether a response can be kept that may be written next. It may use a reserve beyond the limit, because
  // when it is written, the responses that wait for it are written as well.
  bool has_room_for_next_response(std::size_t bytes) const {
    return used_bytes() + bytes <= limit_bytes + reserve_bytes();
  }
  std::size_t reserve_bytes() const { return limit_bytes / 2; }
  bool input_is_exceeded() const { return input_bytes > input_limit_bytes(); }
  std::size_t input_limit_bytes() const { return limit_bytes / 2; }
};

}  // namespace ironquay::net
