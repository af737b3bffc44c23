#include "net/request_error.hpp"

namespace ironquay::net {

std::string_view error_response(RequestError error) {
  switch (error) {
    case RequestError::wrong_word_count:
      return "-ERR wrong number of arguments\r\n";
    case RequestError::invalid_customer:
      return "-ERR no such customer\r\n";
    case RequestError::invalid_request_id:
      return "-ERR no id\r\n";
    case RequestError::unknown_route:
      return "-ERR no such class\r\n";
    case RequestError::unknown_plan:
      return "-ERR no such plan\r\n";
    case RequestError::wrong_command_for_route:
      return "-ERR this class has another command\r\n";
    case RequestError::missing_idempotency_key:
      return "-ERR this class needs a key\r\n";
    case RequestError::invalid_timeout:
      return "-ERR d is no time\r\n";
    case RequestError::invalid_units:
      return "-ERR units is out of range\r\n";
    case RequestError::invalid_gateway_spread:
      return "-ERR spread is no number of gatekeepers\r\n";
    case RequestError::invalid_first_gateway:
      return "-ERR first is no gatekeeper's number\r\n";
    case RequestError::wrong_gateway:
      return "-ERR not in the set of this customer\r\n";
    case RequestError::duplicate_request_id:
      return "-ERR this id is open already\r\n";
  }
  return "-ERR\r\n";
}

}  // namespace ironquay::net
