#include "policy/concurrency_limiter.hpp"

#include <algorithm>

#include "policy/duration.hpp"

namespace ironquay {
namespace {

// A response whose ratio of latency to objective is above this value is slow. Even without congestion, one
// response in a hundred takes about five times the mean latency, because its request needs more work. A mean
// latency above a fifth of the objective therefore causes late responses.
constexpr double kSlowLatencyRatio = 0.22;
// On a route with a high unloaded latency, a response is slow only if its latency is above this multiple of
// the unloaded latency.
constexpr double kSlowUnloadedFactor = 1.75;
// A response is fast if its ratio of latency to objective is below this value, or if its latency is below the
// unloaded latency.
constexpr double kFastLatencyRatio = 0.12;
// Factors by which the limit shrinks on a slow response, on a time-out or rejection, and on another failure.
constexpr double kSlowResponseDecrease = 0.8;
constexpr double kOverloadDecrease = 0.5;
constexpr double kFailureDecrease = 0.8;
// With this limit, a worker that hangs still gets an attempt about every 30 seconds.
constexpr double kMinLimit = 1.0 / 64;

}  // namespace

void ConcurrencyLimiter::record_response(Worker& worker, const ResponseTiming& timing, Duration now) {
  const double limit = worker.concurrency_limit;
  const double slow_ratio = std::max(kSlowLatencyRatio, kSlowUnloadedFactor * timing.unloaded_latency_ratio);
  const double fast_ratio = std::max(kFastLatencyRatio, timing.unloaded_latency_ratio);
  const double initial_limit = std::min(1.0, subset_.initial_concurrency_limit(workers_.ready().size()));
  // A limit below the initial limit doubles with each response that is not slow. A higher limit grows in
  // small steps.
  if (limit < initial_limit && timing.latency_ratio < slow_ratio) {
    workers_.set_concurrency_limit(worker, std::min(initial_limit, 2 * limit));
  } else if (timing.latency_ratio < fast_ratio && worker.in_flight + 1 >= limit) {
    workers_.set_concurrency_limit(worker, limit + initial_limit * initial_limit / limit);
  }
  if (timing.latency_ratio > slow_ratio) shrink(worker, kSlowResponseDecrease, timing.elapsed, now);
}

void ConcurrencyLimiter::record_failure(Worker& worker, Outcome outcome, Duration elapsed, Duration now) {
  // The worker has executed the request, so the worker does not lack capacity.
  if (outcome == Outcome::malformed_response) return;
  const bool overloaded = outcome == Outcome::timed_out || outcome == Outcome::rejected;
  shrink(worker, overloaded ? kOverloadDecrease : kFailureDecrease, elapsed, now);
}

void ConcurrencyLimiter::cap_limit(Worker& worker, double max_limit) {
  workers_.set_concurrency_limit(worker, std::min(worker.concurrency_limit, max_limit));
}

bool ConcurrencyLimiter::may_send(const Worker& worker, Duration now) {
  const double limit = worker.concurrency_limit;
  if (worker.in_flight >= std::max(1.0, limit)) return false;
  if (limit >= 1) return true;
  return now >= worker.last_attempt_ended_at + from_seconds((1 / limit - 1) * worker.mean_latency);
}

void ConcurrencyLimiter::shrink(Worker& worker, double factor, Duration elapsed, Duration now) {
  if (now - worker.limit_reduced_at < elapsed) return;
  workers_.set_concurrency_limit(worker, std::max(kMinLimit, worker.concurrency_limit * factor));
  worker.limit_reduced_at = now;
}

}  // namespace ironquay
