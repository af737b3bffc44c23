// The errors that a client's request can have.
#pragma once
#include <string_view>

namespace ironquay::net {

enum class RequestError {
  wrong_word_count,
  invalid_customer,
  invalid_request_id,
  unknown_route,
  unknown_plan,
  wrong_command_for_route,  // CALL.GET is for idempotent routes, CALL.POST for all others
  missing_idempotency_key,
  invalid_timeout,
  invalid_units,
  invalid_gateway_spread,
  invalid_first_gateway,
  wrong_gateway,         // this gateway is not one of the customer's gateways
  duplicate_request_id,  // a request with this id is already open
};

// Returns the complete error response as it is sent to the client, including the CRLF.
std::string_view error_response(RequestError error);

}  // namespace ironquay::net
