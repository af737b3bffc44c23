// The shared pools of quota. Each customer has one pool, which is stored as one named count on the counter
// service.
//
// A pool's count is the number of units that gateways have taken from it since its period began, minus the
// units that they have contributed. No process refills a pool: each gateway computes the units in the pool
// from the quota's rate and burst, the time since the period began and the count.
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
#include "policy/shared_clock.hpp"

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

// A call to the counter that awaits its reply.
struct CounterCall {
  CounterPurpose purpose = CounterPurpose::contribute_surplus;
  std::string customer;
  double units = 0;       // units that a contribution removed from the slice, or that a take adds to it
  RequestId request = 0;  // the request that waits for the reply, if the purpose is take_for_request
  // Units that the call adds to the count. A take adds more than `units` if it also covers other requests.
  double amount = 0;
  Duration sent_at{0};
  Duration unix_sent_at{0};  // the same in Unix time, which names the pool's period
};

// Takes units from the customers' pools and contributes the surplus of this gateway's slices to them.
class QuotaPool {
 public:
  // All arguments must outlive the pool.
  QuotaPool(const PolicySettings& settings, const SharedClock& clock, QuotaSlices& slices,
            CounterHealth& counter_health, RandomSource& random, Effects& effects)
      : settings_(settings),
        clock_(clock),
        slices_(slices),
        counter_health_(counter_health),
        random_(random),
        effects_(effects),
        memory_(settings.quota_memory_bytes),
        exhausted_(memory_.max_exhausted_pools) {}

  // Updates the mean size of requests with an arriving request of `units`.
  void record_request(double units);
  // Decides at random whether the counter is called for a request that its slice does not cover. The
  // probability is lower while CounterHealth::call_share() is below 1. Always false while too many calls are
  // pending.
  bool should_call_counter(const Request& request) {
    return random_.chance(call_probability(request)) && !has_too_many_calls();
  }
  // Whether a request that its slice does not cover, and for which the counter is not called, may be
  // admitted.
  bool may_admit_uncounted(const Request& request, const QuotaSlice& slice, Duration now) const;

  // Calls the counter to take units for a request. The request waits for on_counter_reply().
  void take_for_request(RequestId id, const Request& request, const QuotaSlice& slice, Duration now);
  // Whether a call for this counter name awaits its reply.
  bool awaits_reply(std::string_view name) const { return pending_calls_.contains(std::string(name)); }
  // Applies the reply to the oldest pending call for its name. Returns the verdict on the request for which
  // the call was made; empty if the call was not made for a request or the request is no longer open.
  std::optional<PoolVerdict> on_counter_reply(const CounterReply& reply, const RequestTable& requests,
                                              Duration now);
  // Handles a peer's message that a customer's pool is exhausted.
  void on_gossip(std::string_view message, Duration now) { exhausted_.receive(message, now); }
  // Moves the units that the slice is not expected to need to the pool.
  void contribute_surplus(const std::string& customer, QuotaSlice& slice, Duration now);

  // Each customer's pool gets a new name on the counter at the start of every period. Periods follow Unix
  // time, so that all gateways use the same name. The new pool starts with its full burst again, so periods
  // are long to make this rare.
  static constexpr Duration kPeriod = std::chrono::seconds(48);

 private:
  friend class QuotaPoolTestAccess;

  bool has_too_many_calls() const { return pending_call_count_ >= memory_.max_pending_calls; }
  double call_probability(const Request& request) const;
  void on_take_reply(const CounterCall& call, std::string_view name, std::optional<double> total,
                     double shortfall, Duration now);
  double units_after_take(const CounterCall& call, const QuotaSlice& slice, std::optional<double> total,
                          Duration now) const;
  void trim_excess(const CounterCall& call, std::string_view name, std::optional<double> total, double excess,
                   double pool_burst, Duration now);
  void mark_exhausted(const std::string& customer, const QuotaSlice& slice, Duration now);
  void announce_exhausted(const std::string& customer, const QuotaSlice& slice, Duration now);
  void call_counter(std::string_view name, CounterCall call, double amount, Duration now);
  std::string pool_name(const std::string& customer, Duration now) const;

  const PolicySettings& settings_;
  const SharedClock& clock_;
  QuotaSlices& slices_;
  CounterHealth& counter_health_;
  RandomSource& random_;
  Effects& effects_;
  QuotaMemory memory_;
  ExhaustedPools exhausted_;
  // Calls by counter name, the oldest first.
  std::unordered_map<std::string, std::deque<CounterCall>> pending_calls_;
  std::size_t pending_call_count_ = 0;  // the calls in pending_calls_
  double mean_request_units_ = 0;       // exponential average over arriving requests; 0 before the first one
  Duration earliest_announcement_{0};   // time before which no exhausted pool is announced
};

}  // namespace ironquay
