// Builds the RESP command that carries an attempt to a worker.
#pragma once
#include <string>

#include "net/exchange.hpp"

namespace ironquay::net {

// Appends the command to `out` up to its body; if there is a body, appends the body's length line as well.
// The words are those that the client sent, except for the attribute `d`. Its value becomes `timeout` in
// milliseconds, rounded up and at least 1: the time that this gateway waits for the response.
void append_attempt_command(std::string& out, const Exchange& exchange, Duration timeout);

}  // namespace ironquay::net
