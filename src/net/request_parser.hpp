// Parses client commands, and maps the names of commands and fields on the wire to the terms of the code.
#pragma once
#include <string_view>
#include <variant>

#include "config/settings_decoder.hpp"
#include "net/request_error.hpp"
#include "net/request_message.hpp"
#include "net/resp.hpp"

namespace ironquay::net {

enum class CommandType {
  idempotent_request,  // CALL.GET: a request on an idempotent route
  other_request,       // CALL.POST: a request on a keyed or non-idempotent route
  ping,
  session,  // CLIENT or SELECT: session setup, which is acknowledged and otherwise ignored
  quit,
  unknown,
};

// Returns the type of the command with this name. Upper and lower case are equivalent.
CommandType command_type(std::string_view name);

// The request, or the first error found in it.
using RequestParseResult = std::variant<RequestMessage, RequestError>;

// Parses a command of type `idempotent_request` or `other_request` and validates it against the settings. The
// views in the result point into the buffer that `command` points into.
RequestParseResult parse_request(const resp::Command& command, CommandType type,
                                 const DecodedSettings& settings);

}  // namespace ironquay::net
