// A client's request in parsed form.
#pragma once
#include <cstddef>
#include <string_view>

#include "policy/types.hpp"

namespace ironquay::net {

// The views point into the buffer that the request was parsed from.
struct RequestMessage {
  // The words that the client sent, in this order. The body is optional.
  std::string_view command;
  std::string_view customer;
  std::string_view client_request_id;  // chosen by the client; unique among its open requests
  std::string_view attributes;         // the list that the fields below are parsed from
  std::string_view body;
  bool has_body = false;  // distinguishes an empty body from no body

  std::size_t route = 0;  // index into PolicySettings::routes
  std::size_t plan = 0;   // index into PolicySettings::plans
  double units = 0;       // units of quota that the request costs
  Duration timeout{0};    // the client's timeout, counted from when it sent the request; limited by the route
  // The customer is served by `gateway_spread` gateways with consecutive numbers. The first one is
  // `first_gateway`; numbers wrap around after the last gateway.
  int first_gateway = 0;
  int gateway_spread = 1;
  bool is_retry = false;  // the client has sent this request before
};

}  // namespace ironquay::net
