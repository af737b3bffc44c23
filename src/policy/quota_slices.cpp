#include "policy/quota_slices.hpp"

#include <algorithm>
#include <cmath>

#include "policy/duration.hpp"

namespace ironquay {
namespace {

// The longest time after which a rejected client is advised to retry.
constexpr double kMaxRetryAfterSeconds = 60;
// Half of the quota flows into the pool if a slice's part of the burst equals this many requests of the
// largest size. A smaller number would pool less, and slices would reject requests while other slices hold
// unused units.
constexpr double kRequestsForHalfPooling = 8;
// The longest time that is assumed until a dropped slice would be full.
constexpr double kMaxRefillSeconds = 3600;
// The lowest rate that time_to_cover() assumes, in units per second. It makes the result finite for a slice
// without inflow.
constexpr double kMinRate = 1e-3;
// The weight of a request that is smaller than the slice's peak request size in the new peak. With this
// weight, the peak reflects about the last ten requests.
constexpr double kPeakRequestDecay = 0.1;

}  // namespace

Duration capped_retry_after(double seconds) { return from_seconds(std::min(seconds, kMaxRetryAfterSeconds)); }

QuotaSlices::Lookup QuotaSlices::find_or_create(const std::string& customer, std::size_t plan_index,
                                                int gateway_spread, Duration now) {
  if (QuotaSlice* known = customers_.find(customer)) {
    known->last_used_at = now;
    return {*known, false};
  }
  if (const std::string* displaced = customers_.displaced_by_insertion()) drop(std::string(*displaced), now);
  QuotaSlice& slice = customers_.insert(customer);
  slice.last_used_at = now;
  const QuotaPlan& plan = settings_.plans[plan_index];
  slice.plan = plan_index;
  slice.gateway_share = 1.0 / std::max(1, gateway_spread);
  slice.rate = plan.rate * slice.gateway_share;
  if (plan.rate > 0 && settings_.capabilities.counter && gateway_spread > 1) {
    slice.pooled_share =
        1 / (1 + plan.burst * slice.gateway_share / (kRequestsForHalfPooling * settings_.max_units));
  }
  // `ceiling_tokens` starts at zero: a full burst after every restart would exceed the ceiling.
  const double missing = to_seconds(refill_times_.time_to_full(customer, now)) * inflow(slice, now);
  slice.tokens = std::max(initial_tokens(slice, now) - missing, -settings_.max_units);
  slice.refilled_at = now;
  return {slice, true};
}

QuotaSlice* QuotaSlices::find(const std::string& customer) { return customers_.find(customer); }

void QuotaSlices::drop(const std::string& customer, Duration now) {
  QuotaSlice* slice = customers_.find(customer);
  if (slice == nullptr) return;
  refill(*slice, now);
  const double missing = initial_tokens(*slice, now) - slice->tokens + slice->uncounted_units;
  const double rate = inflow(*slice, now);
  if (missing > 0 && rate > 0)
    refill_times_.record(customer, now + from_seconds(std::min(missing / rate, kMaxRefillSeconds)));
  customers_.erase(customer);
}

double QuotaSlices::initial_tokens(const QuotaSlice& slice, Duration now) const {
  return settings_.plans[slice.plan].burst * slice.gateway_share * (1 - effective_pooled_share(slice, now));
}

double QuotaSlices::inflow(const QuotaSlice& slice, Duration now) const {
  return slice.rate * (1 - effective_pooled_share(slice, now));
}

void QuotaSlices::refill(QuotaSlice& slice, Duration now) const {
  const QuotaPlan& plan = settings_.plans[slice.plan];
  const double elapsed = to_seconds(now - slice.refilled_at);
  slice.refilled_at = now;
  const double rate = inflow(slice, now);
  const double capacity =
      plan.rate > 0 ? std::max(plan.burst * rate / plan.rate, slice.peak_request_units) : 0;
  // Tokens above the capacity were taken from the pool; they are kept.
  slice.tokens = std::max(slice.tokens, std::min(capacity, slice.tokens + rate * elapsed));
  slice.ceiling_tokens = std::min(plan.ceiling_burst * slice.gateway_share,
                                  slice.ceiling_tokens + plan.ceiling_rate * slice.gateway_share * elapsed);
  slice.demand_rate *= std::exp(-elapsed / to_seconds(kQuotaDemandWindow));
}

// While the counter is unavailable, nothing is taken from the pool. The slices then receive the whole quota,
// so that their sum still equals it.
double QuotaSlices::effective_pooled_share(const QuotaSlice& slice, Duration now) const {
  return counter_health_.available(now) ? slice.pooled_share : 0;
}

void QuotaSlices::record_request(QuotaSlice& slice, double units, bool is_retry) {
  const double decayed = slice.peak_request_units + kPeakRequestDecay * (units - slice.peak_request_units);
  slice.peak_request_units = std::max(units, decayed);
  if (!is_retry) slice.demand_rate += units / to_seconds(kQuotaDemandWindow);
}

Duration QuotaSlices::time_to_cover(const QuotaSlice& slice, double units) {
  return capped_retry_after((units - slice.tokens) / std::max(slice.rate, kMinRate));
}

bool QuotaSlices::permits_attempt(const Request& request, const QuotaSlice& slice) const {
  const int limit = settings_.plans[request.plan].max_concurrent;
  return limit <= 0 || slice.attempts_in_flight < std::max(1.0, limit * slice.gateway_share);
}

std::optional<Duration> QuotaSlices::ceiling_wait(const Request& request, const QuotaSlice& slice) const {
  const double rate = settings_.plans[request.plan].ceiling_rate;
  const bool first_attempt = request.attempts.empty();
  if (!first_attempt || rate <= 0 || slice.ceiling_tokens >= request.units) return std::nullopt;
  return from_seconds((request.units - slice.ceiling_tokens) / rate);
}

void QuotaSlices::charge(const Request& request) {
  if (settings_.plans[request.plan].rate > 0) at(request.customer).tokens -= request.units;
}

void QuotaSlices::refund(const Request& request) {
  QuotaSlice* slice = find(request.customer);
  if (slice != nullptr && request.attempts.empty() && !request.over_quota) slice->tokens += request.units;
}

void QuotaSlices::correct_units(const Request& request, double actual_units) {
  QuotaSlice* slice = find(request.customer);
  if (slice == nullptr || !settings_.reports_actual_units || actual_units <= 0 || request.over_quota) return;
  slice->tokens -= actual_units - request.units;
  slice->demand_rate += (actual_units - request.units) / to_seconds(kQuotaDemandWindow);
}

void QuotaSlices::attempt_started(const Request& request) {
  QuotaSlice& slice = at(request.customer);
  if (request.attempts.empty()) slice.ceiling_tokens -= request.units;
  ++slice.attempts_in_flight;
}

void QuotaSlices::attempt_ended(const Request& request) {
  if (QuotaSlice* slice = find(request.customer)) --slice->attempts_in_flight;
}

}  // namespace ironquay
