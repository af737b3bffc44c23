// The reasons for which the gateway closes client connections.
#pragma once

namespace ironquay::net {

enum class ClientCloseReason {
  client_eof,                // the client closed its side
  client_reset,              // the connection was reset or failed
  protocol_error,            // the client sent bytes that are not a valid RESP command
  quit,                      // the client sent QUIT
  linger_expired,            // the client did not close its side in time after the gateway's half-close
  connection_limit,          // the connection was evicted to accept a new one
  request_connection_limit,  // there were too many connections that have carried requests
  idle,                      // the client was idle for too long after a complete command
  incomplete_command,        // the client was idle for too long after a part of a command
  no_command,                // the client was idle for too long and had sent nothing
  draining,                  // the gateway is shutting down gracefully
  memory_limit,              // incomplete commands exceeded their memory limit
  slow_reader,               // memory is scarce and the client does not read its responses
};

// Returns the reason code that is written to the log.
const char* to_string(ClientCloseReason reason);

}  // namespace ironquay::net
