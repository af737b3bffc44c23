#include "policy/quota_allocator.hpp"

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// The time between two rebalances of a slice. It is short enough for several rebalances before a customer's
// demand changes.
constexpr Duration kRebalanceInterval = 2s;

}  // namespace

QuotaAllocator::QuotaAllocator(const PolicySettings& settings, const SharedClock& clock, RandomSource& random,
                               Effects& effects)
    : counter_health_(settings.capabilities.counter_timeout),
      slices_(settings, counter_health_),
      pool_(settings, clock, slices_, counter_health_, random, effects) {}

QuotaSlice& QuotaAllocator::find_or_create_slice(const std::string& customer, std::size_t plan,
                                                 int gateway_spread, Duration now) {
  const auto [slice, created] = slices_.find_or_create(customer, plan, gateway_spread, now);
  if (created) slices_.schedule_rebalance(customer, now + kRebalanceInterval);
  return slice;
}

QuotaVerdict QuotaAllocator::record_and_check(const Request& request, QuotaSlice& slice, bool is_retry,
                                              Duration now) {
  slices_.refill(slice, now);
  slices_.record_request(slice, request.units, is_retry);
  pool_.record_request(request.units);
  const bool needs_pool = slices_.effective_pooled_share(slice, now) > 0 && slice.tokens < request.units;
  // A slice with any tokens admits one request, even if its tokens become negative: a slice with a small part
  // of the burst may never hold the units of a large request.
  if (!needs_pool) {
    return slices_.is_unlimited(request) || slice.tokens > 0 ? QuotaVerdict::within_quota
                                                             : QuotaVerdict::over_quota;
  }
  if (is_retry) return QuotaVerdict::over_quota;
  if (pool_.should_call_counter(request)) return QuotaVerdict::take_from_pool;
  if (!pool_.may_admit_uncounted(request, slice, now)) return QuotaVerdict::over_quota;
  // The takes for other requests also cover the units of this request (see QuotaPool::take_for_request()), so
  // this request must not reduce the slice's tokens. The tokens added here are subtracted again on admission.
  slice.uncounted_units += request.units;
  slice.tokens += request.units;
  return QuotaVerdict::within_quota;
}

void QuotaAllocator::rebalance_next(Duration now) {
  const std::string customer = slices_.next_to_rebalance();
  QuotaSlice& slice = slices_.at(customer);
  if (now - slice.last_used_at > QuotaPool::kPeriod) {
    slices_.drop(customer, now);
    return;
  }
  pool_.contribute_surplus(customer, slice, now);
  slices_.schedule_rebalance(customer, now + kRebalanceInterval);
}

}  // namespace ironquay
