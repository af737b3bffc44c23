#include "net/client_close_reason.hpp"

namespace ironquay::net {

const char* to_string(ClientCloseReason reason) {
  switch (reason) {
    case ClientCloseReason::client_eof:
      return "client-closed";
    case ClientCloseReason::client_reset:
      return "client-reset";
    case ClientCloseReason::protocol_error:
      return "malformed-request";
    case ClientCloseReason::quit:
      return "quit";
    case ClientCloseReason::linger_expired:
      return "linger-timeout";
    case ClientCloseReason::connection_limit:
      return "connection-limit";
    case ClientCloseReason::request_connection_limit:
      return "request-connection-limit";
    case ClientCloseReason::idle:
      return "idle-timeout";
    case ClientCloseReason::incomplete_command:
      return "request-timeout";
    case ClientCloseReason::no_command:
      return "no-request";
    case ClientCloseReason::draining:
      return "draining";
    case ClientCloseReason::memory_limit:
      return "memory-limit";
    case ClientCloseReason::slow_reader:
      return "slow-reader";
  }
  return "unknown";
}

}  // namespace ironquay::net
