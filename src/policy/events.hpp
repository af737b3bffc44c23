// The events that a gateway reports to its load balancer.
//
// String views in an event need to be valid only during the call that delivers the event.
#pragma once
#include <cstddef>
#include <string_view>

#include "policy/types.hpp"

namespace ironquay {

// A request has arrived from a client.
struct IncomingRequest {
  RequestId id = 0;
  std::string_view customer;
  std::size_t route = 0;  // index into PolicySettings::routes
  std::size_t plan = 0;   // index into PolicySettings::plans
  double units = 0;       // units of the customer's quota that the request uses
  // Index of the first of the customer's gateways. Their indices are consecutive and wrap around to 0.
  int first_gateway = 0;
  int gateway_spread = 1;  // number of the customer's gateways
  Duration time_left{0};   // time until the client times out
  bool is_retry = false;   // true if the client has sent this request before
};

// An attempt has ended.
struct AttemptResult {
  RequestId request = 0;
  std::size_t attempt = 0;  // index among the request's attempts
  WorkerId worker = 0;
  Outcome outcome = Outcome::success;
  Duration elapsed{0};            // time from sending the attempt to its end
  bool request_finished = false;  // true if the client has got the final answer
  double actual_units = 0;        // units used, as reported by the worker; 0: not reported
};

// One entry of an endpoint list.
struct EndpointUpdate {
  WorkerId worker = 0;
  WorkerStatus status = WorkerStatus::ready;
  std::string_view zone;
  std::int64_t cell = 0;
  double relative_capacity = 1;  // full capacity divided by that of a standard worker
  Duration started_at{0};  // when the worker started, in Unix time; 0: so long ago that the worker is warm
  // Identifies the address at which the worker listens; 0: unknown. Two workers at one address cannot both
  // run.
  std::uint64_t address = 0;
};

// The counter service has replied to a call, or the call has failed. Replies for one name arrive in the order
// of the calls.
struct CounterReply {
  std::string_view name;
  Outcome outcome = Outcome::success;
  double total = 0;  // the count after the addition, in units; valid only after a success
};

}  // namespace ironquay
