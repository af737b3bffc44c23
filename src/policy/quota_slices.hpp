// The local quota slices of all customers that have recently sent requests to this gateway.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "policy/counter_health.hpp"
#include "policy/customer_table.hpp"
#include "policy/quota_memory.hpp"
#include "policy/quota_slice.hpp"
#include "policy/refill_times.hpp"
#include "policy/request.hpp"
#include "policy/settings.hpp"

namespace ironquay {

class QuotaSlices {
 public:
  // Both arguments must outlive the slices. The number of slices is bounded by
  // PolicySettings::quota_memory_bytes.
  QuotaSlices(const PolicySettings& settings, const CounterHealth& counter_health)
      : QuotaSlices(settings, counter_health, QuotaMemory(settings.quota_memory_bytes)) {}

  struct Lookup {
    QuotaSlice& slice;
    bool created;  // whether this lookup created the slice
  };
  // Returns the customer's slice and marks it as used now. A new slice starts with its part of the burst,
  // less the pooled share and less the units that an earlier slice of the customer had not got back when it
  // was dropped. If there are too many slices, another customer's slice is dropped. `plan`: index into
  // PolicySettings::plans; `gateway_spread`: number of the customer's gateways.
  Lookup find_or_create(const std::string& customer, std::size_t plan, int gateway_spread, Duration now);
  // Null if there is no slice for the customer.
  QuotaSlice* find(const std::string& customer);
  // Throws std::out_of_range if there is no slice for the customer.
  QuotaSlice& at(const std::string& customer) { return customers_.at(customer); }
  // Drops the customer's slice.
  void drop(const std::string& customer, Duration now);
  bool empty() const { return customers_.size() == 0; }
  std::size_t size() const { return customers_.size(); }

  // A request of the customer is open. Its slice is not dropped until request_ended().
  void request_started(const std::string& customer) { customers_.request_started(customer); }
  void request_ended(const std::string& customer) { customers_.request_ended(customer); }

  // The rebalances of the slices; see CustomerTable.
  void schedule_rebalance(const std::string& customer, Duration when) {
    customers_.schedule_rebalance(customer, when);
  }
  Duration next_rebalance() const { return customers_.next_rebalance(); }
  const std::string& next_to_rebalance() const { return customers_.next_to_rebalance(); }

  // Adds the units that have flowed in since the last call, and decays the measured demand.
  void refill(QuotaSlice& slice, Duration now) const;
  // The share of the quota that flows into the pool now: 0 while the counter is unavailable.
  double effective_pooled_share(const QuotaSlice& slice, Duration now) const;

  // Whether the request's plan does not limit the rate.
  bool is_unlimited(const Request& request) const { return settings_.plans[request.plan].rate <= 0; }
  // Estimates the time until the slice holds `units` if it refills at its whole rate, including the pooled
  // part. The result is at most one minute.
  static Duration time_to_cover(const QuotaSlice& slice, double units);
  // Whether the plan permits the customer another attempt in flight at this gateway.
  bool permits_attempt(const Request& request, const QuotaSlice& slice) const;
  // Time until the plan's hard ceiling permits the request's first attempt; empty if it is permitted now.
  std::optional<Duration> ceiling_wait(const Request& request, const QuotaSlice& slice) const;

  // Updates the slice's peak request size and demand with an arriving request of `units`. Client retries do
  // not count as demand.
  static void record_request(QuotaSlice& slice, double units, bool is_retry);
  // Subtracts the units of an admitted request from its slice.
  void charge(const Request& request);
  // Returns the request's units to its slice if they were charged and no attempt was sent.
  void refund(const Request& request);
  // Adjusts the slice if the worker reported that the request used other units than it was charged.
  // `actual_units`: the reported units; 0: not reported.
  void correct_units(const Request& request, double actual_units);
  // Counts an attempt of the request that starts. Must be called before the attempt is added to the request.
  void attempt_started(const Request& request);
  void attempt_ended(const Request& request);

 private:
  QuotaSlices(const PolicySettings& settings, const CounterHealth& counter_health, const QuotaMemory& memory)
      : settings_(settings),
        counter_health_(counter_health),
        customers_(memory.max_customers),
        refill_times_(memory.refill_times) {}

  // The units that the slice of a new customer holds.
  double initial_tokens(const QuotaSlice& slice, Duration now) const;
  // The units that flow into the slice per second.
  double inflow(const QuotaSlice& slice, Duration now) const;

  const PolicySettings& settings_;
  const CounterHealth& counter_health_;
  CustomerTable customers_;
  RefillTimes refill_times_;
};

// Returns the time after which a rejected client is advised to retry: `seconds`, but at most one minute.
Duration capped_retry_after(double seconds);

}  // namespace ironquay
