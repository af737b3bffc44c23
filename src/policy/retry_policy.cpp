#include "policy/retry_policy.hpp"

#include <algorithm>

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// The time that a repeat of an attempt may take to reach its worker.
constexpr Duration kTransitAllowance = 10ms;

const Attempt* first_possibly_executed_attempt(const Request& request) {
  const auto found = std::find_if(request.attempts.begin(), request.attempts.end(),
                                  [](const Attempt& attempt) { return attempt.may_have_executed; });
  return found == request.attempts.end() ? nullptr : &*found;
}

bool has_attempt_in_flight(const Request& request) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [](const Attempt& attempt) { return attempt.in_flight; });
}

}  // namespace

AllowedActions RetryPolicy::allowed_actions(const Request& request, Duration now) const {
  const Route& route = settings_.routes[request.route];
  const Capabilities& capabilities = settings_.capabilities;
  const bool may_hedge = capabilities.hedging && route.idempotency != Idempotency::non_idempotent;
  AllowedActions allowed;
  if (has_attempt_in_flight(request) && !may_hedge) allowed.send = false;
  if (static_cast<int>(request.attempts.size()) >= capabilities.max_attempts) allowed.send = false;
  if (request.streaming) allowed.send = false;

  const Attempt* possibly_executed = first_possibly_executed_attempt(request);
  if (possibly_executed == nullptr) return allowed;
  if (route.idempotency == Idempotency::non_idempotent) {
    allowed.send = false;
    allowed.reject = false;
  }
  if (route.idempotency == Idempotency::keyed) {
    allowed.repeated_attempt = possibly_executed;
    if (now >= dedup_deadline(*possibly_executed, route)) allowed.send = false;
    // A client retry may reach a worker outside the deduplication scope, which would execute it again.
    if (route.dedup_scope != DedupScope::all) allowed.reject = false;
  }
  return allowed;
}

bool RetryPolicy::may_still_send(const Request& request, std::size_t attempt, Duration now) const {
  const Route& route = settings_.routes[request.route];
  if (route.idempotency == Idempotency::idempotent) return true;
  const auto end = request.attempts.begin() + static_cast<std::ptrdiff_t>(attempt);
  const auto possibly_executed = std::find_if(
      request.attempts.begin(), end, [](const Attempt& earlier) { return earlier.may_have_executed; });
  if (possibly_executed == end) return true;
  return route.idempotency == Idempotency::keyed && now < dedup_deadline(*possibly_executed, route);
}

bool RetryPolicy::discards_repeat(const Route& route, const Attempt& attempt, const std::string& zone,
                                  std::int64_t cell) {
  switch (route.dedup_scope) {
    case DedupScope::all:
      return true;
    case DedupScope::zone:
      return zone == attempt.zone;
    case DedupScope::cell:
      return cell == attempt.cell;
  }
  return false;
}

// The clock of the gateway and the clock of the worker may each be wrong by one tick.
Duration RetryPolicy::dedup_deadline(const Attempt& attempt, const Route& route) const {
  return attempt.sent_at + route.dedup_window - 2 * settings_.tick - kTransitAllowance;
}

}  // namespace ironquay
