#include "policy/route_statistics.hpp"

#include <algorithm>

namespace ironquay {
namespace {

// The weight of a new sample in the exponential averages.
constexpr double kMeanSmoothing = 0.02;
// The unloaded latency is the running minimum of the mean latency, which is multiplied by this factor with
// each response. The factor is so small that the minimum stays almost the same during a minute of congestion.
constexpr double kUnloadedGrowth = 1.0001;
// The number of samples at which the histogram halves its counts. It corresponds to about a minute of
// traffic, and the count of each bin then has a statistical error of about 10%.
constexpr double kHistogramHalvingTotal = 400;

}  // namespace

// The bins are narrow in the range from which attempt time-outs are derived, and wide above it.
RouteStatistics::RouteStatistics() : latency_ratios_({.0625, .125, .1875, .25, .375, .5, .75, 1, 2}) {}

void RouteStatistics::record_request(double units, bool is_retry, Duration time_left) {
  if (!is_retry) max_initial_time_left_ = std::max(max_initial_time_left_, time_left);
  mean_units_ = mean_units_ > 0 ? mean_units_ + kMeanSmoothing * (units - mean_units_) : units;
}

void RouteStatistics::record_response(double latency, double latency_ratio) {
  const double previous = mean_latency_ > 0 ? mean_latency_ : latency;
  mean_latency_ = previous + kMeanSmoothing * (latency - previous);
  unloaded_latency_ =
      unloaded_latency_ > 0 ? std::min(unloaded_latency_ * kUnloadedGrowth, mean_latency_) : mean_latency_;
  latency_ratios_.add(latency_ratio, kHistogramHalvingTotal);
}

double RouteStatistics::relative_size(double units) const {
  return std::clamp(units / std::max(mean_units_, 1e-3), 0.5, 4.0);
}

}  // namespace ironquay
