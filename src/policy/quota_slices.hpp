// The local quota slices of all customers that have recently sent requests to this gateway.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "policy/counter_health.hpp"
#include "policy/quota_slice.hpp"
#include "policy/request.hpp"
#include "policy/settings.hpp"

namespace ironquay {

class QuotaSlices {
 public:
  // Both arguments must outlive the slices.
  QuotaSlices(const PolicySettings& settings, const CounterHealth& counter_health)
      : settings_(settings), counter_health_(counter_health) {}

  struct Lookup {
    QuotaSlice& slice;
    bool created;  // whether this lookup created the slice
  };
  // Returns the customer's slice and marks it as used now. A new slice starts with its part of the burst,
  // less the pooled share. `plan`: index into PolicySettings::plans; `gateway_spread`: number of the
  // customer's gateways.
  Lookup find_or_create(const std::string& customer, std::size_t plan, int gateway_spread, Duration now);
  // Null if there is no slice for the customer.
  QuotaSlice* find(const std::string& customer);
  // Throws std::out_of_range if there is no slice for the customer.
  QuotaSlice& at(const std::string& customer) { return slices_.at(customer); }
  void erase(const std::string& customer) { slices_.erase(customer); }
  bool empty() const { return slices_.empty(); }
  std::size_t size() const { return slices_.size(); }

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
  const PolicySettings& settings_;
  const CounterHealth& counter_health_;
  std::unordered_map<std::string, QuotaSlice> slices_;
};

// Returns the time after which a rejected client is advised to retry: `seconds`, but at most one minute.
Duration capped_retry_after(double seconds);

}  // namespace ironquay
