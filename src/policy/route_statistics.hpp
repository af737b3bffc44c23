// Statistics about the recent requests of one route: their units and the latency of their responses.
#pragma once
#include "policy/histogram.hpp"
#include "policy/types.hpp"

namespace ironquay {

class RouteStatistics {
 public:
  RouteStatistics();

  // Records a request that has arrived. `time_left` is the time until its client times out.
  void record_request(double units, bool is_retry, Duration time_left);
  // Records a response. `latency` is in seconds; `latency_ratio` is the latency divided by the route's
  // latency objective. Both are scaled to a request of mean size, that is, divided by relative_size().
  void record_response(double latency, double latency_ratio);

  // `units` divided by the mean units of the route's requests, limited to the range from 0.5 to 4.
  double relative_size(double units) const;
  // The latency ratio that `share` of the responses do not exceed, rounded up to the edge of a histogram bin.
  double latency_ratio_quantile(double share) const { return latency_ratios_.quantile(share); }
  // Mean latency of a request of mean size, in seconds; 0 before the first response.
  double mean_latency() const { return mean_latency_; }
  // Estimate of the mean_latency() that the route has while no requests wait in queues at the workers, in
  // seconds; 0 before the first response.
  double unloaded_latency() const { return unloaded_latency_; }
  // Mean units of a request; 0 before the first request.
  double mean_units() const { return mean_units_; }
  // The longest time left until the client's time-out of any request on arrival, client retries excluded.
  Duration max_initial_time_left() const { return max_initial_time_left_; }
  // Replaces the measured mean.
  void set_mean_units_for_testing(double units) { mean_units_ = units; }

 private:
  Histogram latency_ratios_;  // latencies divided by the latency objective
  double mean_units_ = 0;
  double mean_latency_ = 0;
  double unloaded_latency_ = 0;
  Duration max_initial_time_left_{0};
};

}  // namespace ironquay
