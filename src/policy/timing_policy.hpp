// Sets the deadline of each request and the time-out of each attempt.
#pragma once
#include <vector>

#include "policy/events.hpp"
#include "policy/request.hpp"
#include "policy/route_statistics.hpp"
#include "policy/settings.hpp"

namespace ironquay {

class TimingPolicy {
 public:
  // Both arguments must outlive the policy. `route_statistics` holds one entry per element of
  // PolicySettings::routes.
  TimingPolicy(const PolicySettings& settings, const std::vector<RouteStatistics>& route_statistics)
      : settings_(settings), route_statistics_(route_statistics) {}

  // The time by which the gateway must send the final answer: shortly before the client times out or, on a
  // route where late responses have no value, shortly before the latency objective passes.
  Duration answer_deadline(const IncomingRequest& incoming, Duration now) const;
  // The time by which the gateway must send the final answer to a client that times out after `time_left`.
  Duration answer_deadline(Duration time_left, Duration now) const;

  // The time-out of the request's next attempt. The time-out leaves time for a retry if the route allows
  // retries and `load`, the load of the fleet, is low. Otherwise the attempt may take until the request's
  // deadline.
  Duration attempt_timeout(const Request& request, double load, Duration now) const;

  // The mean latency of the route's responses, scaled to the units of the request.
  Duration expected_latency(const Request& request) const;

 private:
  // Estimates the time since the client first sent the request; 0 unless the request is a client retry.
  Duration time_since_first_sent(const IncomingRequest& incoming) const;

  const PolicySettings& settings_;
  const std::vector<RouteStatistics>& route_statistics_;
};

}  // namespace ironquay
