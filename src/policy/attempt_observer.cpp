#include "policy/attempt_observer.hpp"

#include <algorithm>

#include "policy/duration.hpp"

namespace ironquay {
namespace {

// Weights of a new sample in the exponential averages. The relative latency is smoothed more strongly because
// the work of single requests varies more than the speed of workers.
constexpr double kRelativeLatencySmoothing = 0.05;
constexpr double kMeanLatencySmoothing = 0.2;
// The maximum of a sample of the relative latency.
constexpr double kMaxRelativeLatency = 10;
// A response whose ratio of latency to objective is above this value indicates an overload of the fleet. The
// value is twice the ratio without load. With a higher value, congestion persisted; with a lower one, a fleet
// with little load shed requests.
constexpr double kOverloadLatencyRatio = 0.3;

// Latencies are in seconds. `route_mean_latency` is the mean latency of the route for a request of mean size.
void update_latency(Worker& worker, double elapsed, double relative_size, double route_mean_latency) {
  const double relative_latency = std::min(elapsed / relative_size / route_mean_latency, kMaxRelativeLatency);
  worker.relative_latency += kRelativeLatencySmoothing * (relative_latency - worker.relative_latency);
  worker.mean_latency += kMeanLatencySmoothing * (elapsed - worker.mean_latency);
}

}  // namespace

void AttemptObserver::record(Worker& worker, const Request& request, Outcome outcome, Duration elapsed,
                             Duration now) {
  worker.last_attempt_ended_at = now;
  if (outcome >= Outcome::cancelled || now - elapsed < resumed_at_) return;
  RouteStatistics& statistics = route_statistics_[request.route];
  // The latency is divided by the size of the request, because a request of more units is assumed to take
  // proportionally longer.
  const double relative_size = statistics.relative_size(request.units);
  const double elapsed_seconds = to_seconds(elapsed);
  const double route_mean_latency =
      statistics.mean_latency() > 0 ? statistics.mean_latency() : elapsed_seconds / relative_size;
  if (outcome == Outcome::success || outcome == Outcome::timed_out) {
    update_latency(worker, elapsed_seconds, relative_size, route_mean_latency);
  }
  if (outcome == Outcome::success) {
    record_response(worker, statistics, request, elapsed, now);
  } else {
    record_failure(worker, outcome, elapsed, now);
  }
}

void AttemptObserver::record_response(Worker& worker, RouteStatistics& statistics, const Request& request,
                                      Duration elapsed, Duration now) {
  const double objective = to_seconds(settings_.routes[request.route].latency_objective);
  const double relative_size = statistics.relative_size(request.units);
  const double latency_ratio = to_seconds(elapsed) / objective / relative_size;
  statistics.record_response(to_seconds(elapsed) / relative_size, latency_ratio);
  OutlierDetector::record_success(worker);
  limiter_.record_response(worker, {elapsed, latency_ratio, statistics.unloaded_latency() / objective}, now);
  overload_.record_response(latency_ratio > kOverloadLatencyRatio);
}

void AttemptObserver::record_failure(Worker& worker, Outcome outcome, Duration elapsed, Duration now) {
  limiter_.record_failure(worker, outcome, elapsed, now);
  if (outcome == Outcome::timed_out || outcome == Outcome::rejected) overload_.record_failure();
  OutlierDetector::record_failure(worker, outcome);
  if (OutlierDetector::is_ejected(worker))
    limiter_.cap_limit(worker, OutlierDetector::ejected_concurrency_limit());
}

}  // namespace ironquay
