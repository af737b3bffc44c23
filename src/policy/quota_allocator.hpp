// Enforces customers' quotas across gateways. It follows the weight allocation of Pisces (Shue, Freedman,
// Shaikh, "Performance Isolation and Fairness for Multi-Tenant Cloud Storage", section 3.2); docs/design.md
// lists the differences.
//
// Each gateway admits a customer's requests from a local slice of the quota (QuotaSlices). The gateway moves
// surplus units of the slice to the customer's pool on the counter service (QuotaPool). If the slice does not
// hold the units of a request, the gateway takes them from the pool.
#pragma once
#include <string>
#include <string_view>

#include "policy/counter_health.hpp"
#include "policy/effects.hpp"
#include "policy/quota_pool.hpp"
#include "policy/quota_slices.hpp"
#include "policy/random.hpp"
#include "policy/request.hpp"
#include "policy/settings.hpp"

namespace ironquay {

// The quota decision on an arriving request.
enum class QuotaVerdict {
  within_quota,
  over_quota,
  take_from_pool,  // undecided until the counter has replied to a take from the pool
};

class QuotaAllocator {
 public:
  // All arguments must outlive the allocator.
  QuotaAllocator(const PolicySettings& settings, const SharedClock& clock, RandomSource& random,
                 Effects& effects);

  // Returns the customer's slice and marks it as used now. A new slice starts with its part of the burst,
  // less the pooled share, and its first rebalance is scheduled. `plan`: index into PolicySettings::plans;
  // `gateway_spread`: number of the customer's gateways.
  QuotaSlice& find_or_create_slice(const std::string& customer, std::size_t plan, int gateway_spread,
                                   Duration now);
  QuotaSlices& slices() { return slices_; }
  const QuotaSlices& slices() const { return slices_; }
  QuotaPool& pool() { return pool_; }

  // Records an arriving request and decides on it. Client retries never take from the pool: otherwise each
  // retry of a rejected request would call the counter again.
  QuotaVerdict record_and_check(const Request& request, QuotaSlice& slice, bool is_retry, Duration now);

  // The time of the next rebalance; Duration::max() if there are no slices.
  Duration next_rebalance() const { return slices_.next_rebalance(); }
  // Performs the earliest scheduled rebalance: contributes the surplus of the slice to the customer's pool,
  // or drops the slice if the customer has sent no request for QuotaPool::kPeriod. At least one rebalance
  // must be scheduled.
  void rebalance_next(Duration now);

 private:
  friend class QuotaAllocatorTestAccess;

  CounterHealth counter_health_;
  QuotaSlices slices_;
  QuotaPool pool_;
};

}  // namespace ironquay
