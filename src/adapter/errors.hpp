// Errors that end a simulator session.
#pragma once
#include <stdexcept>

namespace ironquay::adapter {

// The input violates the simulator's protocol. what() names the message, and the field if one is invalid.
struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The load balancer threw an exception while handling an event, or while it was constructed. what() is the
// text of that exception.
struct PolicyFailure : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace ironquay::adapter
