// Builds the RESP command that carries an attempt to a worker.
#pragma once
#include <string>

#include "net/exchange.hpp"

namespace ironquay::net {

// Appends the command to `out`. The words equal those of the client's request, except that the value of the
// attribute `d` is replaced by `timeout` in milliseconds, rounded up and at least 1. This is the time for
// which the gateway waits for the response.
void append_attempt_command(std::string& out, const Exchange& exchange, Duration timeout);

}  // namespace ironquay::net
