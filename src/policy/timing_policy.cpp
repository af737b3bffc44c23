#include "policy/timing_policy.hpp"

#include <algorithm>

#include "policy/duration.hpp"

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// Clock ticks that the final answer may take to reach the client before the client's time-out.
constexpr int kAnswerTransitTicks = 3;
// If the time left of a client retry differs by no more than this from the longest time left of requests that
// are not client retries, the client is assumed to use a new time-out each time it sends a request.
constexpr Duration kTimeoutTolerance = 10ms;
// The time-out of an attempt leaves time for a retry only while the load of the fleet is below this value.
constexpr double kMaxRetryReserveLoad = 0.7;
// The time-out of an attempt is kTimeoutFactor times the latency that a share of kTimeoutResponseShare of the
// route's responses does not exceed.
constexpr double kTimeoutFactor = 3;
constexpr double kTimeoutResponseShare = 0.95;
// The time-out divided by the latency objective is at least this value, so that ordinary slow responses do
// not time out.
constexpr double kMinTimeoutRatio = 0.3;
// If the time-out divided by the latency objective is below this value, about a third of the latency
// objective or more remains for a retry. Otherwise too little remains, and the attempt may take until the
// request's deadline.
constexpr double kMaxTimeoutRatio = 0.65;

}  // namespace

Duration TimingPolicy::answer_deadline(const IncomingRequest& incoming, Duration now) const {
  const Route& route = settings_.routes[incoming.route];
  const Duration deadline = answer_deadline(incoming.time_left, now);
  if (route.late_value_share > 0) return deadline;
  const Duration time_to_objective = route.latency_objective - time_since_first_sent(incoming);
  return std::min(deadline, answer_deadline(time_to_objective, now));
}

Duration TimingPolicy::answer_deadline(Duration time_left, Duration now) const {
  return now + time_left - kAnswerTransitTicks * settings_.tick;
}

// Most clients use one time-out for a request and its client retries. The client time-out minus the time left
// is then the time since the client first sent the request. If a client retry has as much time left as a
// request that is sent for the first time, the client uses a new time-out for each client retry. The
// difference is then only an upper bound of the time since the client first sent the request, and half of it
// is assumed.
Duration TimingPolicy::time_since_first_sent(const IncomingRequest& incoming) const {
  if (!incoming.is_retry) return Duration(0);
  const Duration initial_time_left = route_statistics_[incoming.route].max_initial_time_left();
  const bool uses_one_timeout = std::chrono::abs(incoming.time_left - initial_time_left) > kTimeoutTolerance;
  const Duration timeout = settings_.routes[incoming.route].client_timeout;
  return std::max(Duration(0), timeout - incoming.time_left) / (uses_one_timeout ? 1 : 2);
}

Duration TimingPolicy::attempt_timeout(const Request& request, double load, Duration now) const {
  const Route& route = settings_.routes[request.route];
  const RouteStatistics& statistics = route_statistics_[request.route];
  const Duration time_to_deadline = request.deadline - now;
  const double base_timeout_ratio = kTimeoutFactor * statistics.latency_ratio_quantile(kTimeoutResponseShare);
  const double timeout_ratio =
      std::max(kMinTimeoutRatio, base_timeout_ratio * statistics.relative_size(request.units));
  const bool retryable = route.idempotency != Idempotency::non_idempotent;
  if (!retryable || load >= kMaxRetryReserveLoad || timeout_ratio >= kMaxTimeoutRatio) {
    return time_to_deadline;
  }
  return std::min(time_to_deadline, from_seconds(timeout_ratio * to_seconds(route.latency_objective)));
}

Duration TimingPolicy::expected_latency(const Request& request) const {
  const RouteStatistics& statistics = route_statistics_[request.route];
  return from_seconds(statistics.mean_latency() * statistics.relative_size(request.units));
}

}  // namespace ironquay
