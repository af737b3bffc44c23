// A client's open request and its attempts at workers.
#pragma once
#include <string>
#include <vector>

#include "policy/types.hpp"

namespace ironquay {

// One transmission of a request to a worker.
struct Attempt {
  WorkerId worker = 0;
  std::string zone;       // the worker's zone when the attempt was sent
  std::int64_t cell = 0;  // the worker's cell when the attempt was sent
  Duration sent_at{0};
  bool in_flight = true;          // true until the attempt ends
  bool may_have_executed = true;  // true if the worker may have executed the request
};

// A request that has not got its final answer yet.
struct Request {
  std::size_t route = 0;  // index into PolicySettings::routes
  std::size_t plan = 0;   // index into PolicySettings::plans
  std::string customer;
  double units = 0;               // units of the customer's quota that the request uses
  double queue_rank = 0;          // the queued request with the lowest rank is sent first
  Duration deadline{0};           // time by which the client must get the final answer
  bool queued = false;            // true while the request waits until it can be sent to a worker
  bool streaming = false;         // true if the gateway has forwarded the start of a response
  bool over_quota = false;        // true if the request's units have not been charged to the quota
  std::vector<Attempt> attempts;  // in the order of sending
};

}  // namespace ironquay
