// The shared pools of quota, one per customer, each kept as one named count on the counter service.
//
// A pool's count is the number of units that gateways have taken from it since its period began, minus the
// units that they have contributed. No process refills a pool: each gateway computes its remaining units from
// the quota's rate and burst, the time since the period began and the count.
#pragma once
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "policy/counter_health.hpp"
#include "policy/effects.hpp"
#include "policy/events.hpp"
#include "policy/exhausted_pools.hpp"
#include "policy/quota_slices.hpp"
#include "policy/random.hpp"
#include "policy/request.hpp"
#include "policy/request_table.hpp"
#include "policy/settings.hpp"

namespace ironquay {

// The decision on a request that waited for the counter's reply.
struct PoolVerdict {
  RequestId request = 0;
  bool within_quota = false;
  Duration retry_after{0};  // time from now until the pool is expected to hold enough units
};

// The reason for a call to the counter.
enum class CounterPurpose {
  contribute_surplus,  // moves units from a slice to the pool
  correct_count,       // returns units of a take, or trims the pool to its burst
  take_for_request,    // moves units from the pool to a slice; a request waits for the reply
};

// A call to the counter that has not been answered.
struct CounterCall {
  CounterPurpose purpose = CounterPurpose::contribute_surplus;
  std::string customer;
  double units = 0;       // moved out of the slice (contribution) or wanted for it (take)
  RequestId request = 0;  // the request that waits for the reply, if the purpose is take_for_request
  double amount = 0;      // units that the call adds to the count
  Duration sent_at{0};
};

// Takes units from the customers' pools and contributes the surplus of this gateway's slices to them.
class QuotaPool {
 public:
  // All arguments must outlive the pool.
  QuotaPool(const PolicySettings& settings, QuotaSlices& slices, CounterHealth& counter, RandomSource& random,
            Effects& effects)
      : settings_(settings), slices_(slices), counter_(counter), random_(random), effects_(effects) {}

  // Updates the mean size of requests with an arriving request of `units`.
  void record_request(double units);
  // Decides at random whether a request that its slice does not cover calls the counter. The probability
  // depends on how many calls the counter can take at present.
  bool should_call_counter(const Request& request) { return random_.chance(call_probability(request)); }
  // Whether a request that its slice does not cover may be admitted without a call to the counter.
  bool may_admit_uncounted(const Request& request, const QuotaSlice& slice, Duration now) const;

  // Calls the counter to take units for a request. The request waits for on_counter_reply().
  void take_for_request(RequestId id, const Request& request, const QuotaSlice& slice, Duration now);
  // Whether a call for this counter name has not been answered.
  bool awaits_reply(std::string_view name) const { return pending_calls_.contains(std::string(name)); }
  // Applies the reply to the oldest pending call for its name. Returns the verdict on the request that the
  // call was made for; empty if the call was for no request or the request is no longer open.
  std::optional<PoolVerdict> on_counter_reply(const CounterReply& reply, const RequestTable& requests,
                                              Duration now);
  // Handles a peer's message that a customer's pool is exhausted.
  void on_gossip(std::string_view message, Duration now) { exhausted_.receive(message, now); }
  // Moves the units that the slice is not expected to need to the pool.
  void contribute_surplus(const std::string& customer, QuotaSlice& slice, Duration now);

  // Each customer's pool gets a new name on the counter at the start of every period. The new pool starts
  // with its full burst again, so periods are long to make this rare.
  static constexpr Duration kPeriod = std::chrono::seconds(48);

 private:
  friend class QuotaPoolPeer;

  double call_probability(const Request& request) const;
  void on_take_reply(const CounterCall& call, std::string_view name, std::optional<double> total,
                     double shortfall, Duration now);
  double remaining_units(const CounterCall& call, const QuotaSlice& slice, std::optional<double> total,
                         Duration now) const;
  void trim_excess(const CounterCall& call, std::string_view name, std::optional<double> total, double excess,
                   double burst, Duration now);
  void mark_exhausted(const std::string& customer, const QuotaSlice& slice, Duration now);
  void announce_exhausted(const std::string& customer, const QuotaSlice& slice, Duration now);
  void call_counter(std::string_view name, CounterCall call, double amount, Duration now);
  static std::string pool_name(const std::string& customer, Duration now);

  const PolicySettings& settings_;
  QuotaSlices& slices_;
  CounterHealth& counter_;
  RandomSource& random_;
  Effects& effects_;
  ExhaustedPools exhausted_;
  // Calls by counter name, the oldest first.
  std::unordered_map<std::string, std::deque<CounterCall>> pending_calls_;
  double mean_request_units_ = 0;  // smoothed over all requests that arrive; 0 before the first one
  Duration next_announcement_{0};  // earliest time at which the next exhausted pool may be announced
};

}  // namespace ironquay
