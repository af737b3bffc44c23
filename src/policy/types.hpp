// Identifiers, time and enumerations shared by the policy modules and the programs that run them.
#pragma once
#include <chrono>
#include <cstdint>

namespace ironquay {

// A length of time, or a point in time on the gateway's own monotonic clock unless a comment says Unix time.
using Duration = std::chrono::microseconds;
using RequestId = std::uint64_t;
using WorkerId = std::uint32_t;

// How an attempt, a health check or a counter call ended.
enum class Outcome {
  success,
  failure,             // the worker reported an error; it may have executed the request
  rejected,            // the worker rejected the request without executing it: queue full or draining
  timed_out,           // no response in time; the worker may have executed or may still execute the request
  connect_failed,      // the request was not delivered
  connection_lost,     // the connection ended after delivery; the worker may have executed the request
  malformed_response,  // the worker executed the request, but its response cannot be used
  // The outcomes below do not indicate the health of the worker.
  cancelled,         // this gateway cancelled the attempt
  not_sent,          // this gateway decided not to write the request to the connection
  stale_connection,  // the worker had already closed the reused connection
  invalid_request,   // no worker can execute this request
};

// Why a request got an answer that is not a worker's response.
enum class UnservedReason {
  over_quota,         // the customer's quota does not cover it
  over_ceiling,       // the plan's hard ceiling does not cover its first attempt
  arrived_late,       // its time had passed when it was read
  overload,           // load was shed
  queue_full,         // too many requests waited for a worker
  no_time_left,       // a worker would probably respond after the request's deadline
  retry_not_allowed,  // no further attempt is allowed
  deadline_passed,    // no worker responded in time, or none was found
};

enum class WorkerStatus {
  ready,     // accepts requests
  draining,  // shuts down gracefully and accepts no new requests
  gone,      // no longer exists
};

// The contents of an endpoint list.
enum class EndpointListKind {
  delta,   // the endpoints that changed
  full,    // every endpoint
  cached,  // every endpoint, as stored before this gateway started
  failed,  // nothing: discovery could not be reached
};

// Whether an attempt that ended this way may have been executed by its worker.
constexpr bool may_have_executed(Outcome outcome) {
  return outcome != Outcome::rejected && outcome != Outcome::connect_failed && outcome != Outcome::not_sent;
}

}  // namespace ironquay
