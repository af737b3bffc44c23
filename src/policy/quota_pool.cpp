#include "policy/quota_pool.hpp"

#include <algorithm>
#include <cmath>

#include "policy/duration.hpp"
#include "policy/fnv1a.hpp"

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// The lifetime of a counter name from its first use. It exceeds the period, so that the name exists until its
// period ends, and stays below one minute, the longest lifetime that the counter permits.
constexpr Duration kPoolNameLifetime = QuotaPool::kPeriod + 10s;
// While the counter is slow, requests for which it is not called may use this share of the pool's burst
// between two successful takes.
constexpr double kUncountedBurstShare = 0.25;
// The counter is not called for a contribution below this share of the plan's burst.
constexpr double kMinContributionShare = 0.1;
// The measured demand is compared with a slice's refill rate divided by this number. The rest of the rate is
// headroom for demand above the measured rate.
constexpr double kDemandHeadroomDivisor = 2;
// The surplus is the slice's inflow during this many seconds, less the demand and its headroom.
constexpr double kSurplusSeconds = 2;
// The weight of a new request in the mean size of requests.
constexpr double kMeanUnitsSmoothing = 0.02;
// Bounds of the error of a total. The counter rounds totals to thousandths, and a total has about seven exact
// digits.
constexpr double kCounterRelativeError = 0.0001, kCounterRounding = 0.001;
// The smallest amount to take, in units. It also replaces a mean request size of zero as a divisor.
constexpr double kMinAmount = 1e-3;
// A slice with fewer tokens than this counts as empty.
constexpr double kPositiveTokens = 1e-6;
// Announcements of exhausted pools may use this share of the gossip messages that all gateways together
// accept.
constexpr double kAnnouncementShare = 0.5;

// Staggers the periods of different customers. All gateways compute the same offset for a customer.
Duration period_offset(std::string_view customer) {
  return Duration(static_cast<std::int64_t>(fnv1a_64(customer) >> 20) % QuotaPool::kPeriod.count());
}

}  // namespace

void QuotaPool::record_request(double units) {
  mean_request_units_ = mean_request_units_ > 0
                            ? mean_request_units_ + kMeanUnitsSmoothing * (units - mean_request_units_)
                            : units;
}

// Without a call, the gateway does not know whether the pool holds the request's units. It admits the request
// because most customers are far below their quotas: rejecting their requests would cost more than the units
// that are admitted over quota.
bool QuotaPool::may_admit_uncounted(const Request& request, const QuotaSlice& slice, Duration now) const {
  if (exhausted_.contains(request.customer, now)) return false;
  const double limit = slice.pooled_share * settings_.plans[request.plan].burst * kUncountedBurstShare;
  return slice.uncounted_units < limit;
}

// Takes the request's units plus the units of the customer's other demand in one second, less the tokens that
// the slice holds. If the pool is known to be exhausted, it takes no units for other demand: they would be
// returned later, and until then other gateways could not take them.
void QuotaPool::take_for_request(RequestId id, const Request& request, const QuotaSlice& slice,
                                 Duration now) {
  const bool exhausted = exhausted_.contains(request.customer, now);
  const double other_demand = slice.demand_rate - request.units / to_seconds(kQuotaDemandWindow);
  const double extra_units = exhausted ? 0 : std::max(0.0, other_demand);
  const double units = std::max(request.units + extra_units - slice.tokens, kMinAmount);
  // If the counter is called for only a share of the requests, each take also covers the other requests, up
  // to the pool's burst.
  const double pool_burst = exhausted ? 0 : slice.pooled_share * settings_.plans[slice.plan].burst;
  const double amount = std::max(units, std::min(units / call_probability(request), pool_burst));
  const CounterCall call{CounterPurpose::take_for_request, request.customer, units, id, 0, now, {}};
  call_counter(pool_name(request.customer, now), call, amount, now);
}

std::optional<PoolVerdict> QuotaPool::on_counter_reply(const CounterReply& reply,
                                                       const RequestTable& requests, Duration now) {
  const auto pending = pending_calls_.find(std::string(reply.name));
  if (pending == pending_calls_.end() || pending->second.empty()) return std::nullopt;
  const CounterCall call = std::move(pending->second.front());
  pending->second.pop_front();
  --pending_call_count_;
  if (pending->second.empty()) pending_calls_.erase(pending);
  counter_health_.record(reply.outcome, call.sent_at, now);

  QuotaSlice* slice = slices_.find(call.customer);
  if (slice == nullptr) return std::nullopt;
  slices_.refill(*slice, now);
  const bool certainly_not_added =
      reply.outcome == Outcome::rejected || reply.outcome == Outcome::connect_failed;
  // The units of a failed contribution return to the slice only if the counter cannot have added them to the
  // pool. Otherwise they could be used twice.
  if (call.purpose == CounterPurpose::contribute_surplus && certainly_not_added) slice->tokens += call.units;
  if (call.purpose != CounterPurpose::take_for_request) return std::nullopt;

  const Request* request = requests.find(call.request);
  // The counter may have added the amount, but no valid total was received.
  const bool total_lost = reply.outcome == Outcome::connection_lost;
  const bool added = reply.outcome == Outcome::success || total_lost;
  if (added) {
    const double shortfall = request == nullptr ? 0 : std::max(0.0, request->units - slice->tokens);
    on_take_reply(call, reply.name, total_lost ? std::nullopt : std::optional(reply.total), shortfall, now);
  }
  if (request == nullptr) return std::nullopt;
  // If the take failed, a slice with any tokens admits one request, as without a pool.
  const double needed = added ? request->units : kPositiveTokens;
  const double wait = to_seconds(slice->earliest_take - now);
  return PoolVerdict{call.request, slice->tokens >= needed, capped_retry_after(wait)};
}

// Moves the units of a take to the slice if the pool held them. Otherwise moves only the request's shortfall,
// or nothing if the pool did not hold the shortfall either, and returns the other units of the take to the
// pool. `total`: the count after the take, empty if it is unknown. `shortfall`: units that the waiting
// request needs in addition to the slice's tokens.
void QuotaPool::on_take_reply(const CounterCall& call, std::string_view name, std::optional<double> total,
                              double shortfall, Duration now) {
  QuotaSlice& slice = slices_.at(call.customer);
  const QuotaPlan& plan = settings_.plans[slice.plan];
  const double pool_burst = slice.pooled_share * plan.burst;
  const double units_after = units_after_take(call, slice, total, now);
  // If the pool does not hold all the units of the take, it may still cover the request itself.
  const double units_before = units_after + call.amount;
  const double request_part = units_before >= shortfall ? shortfall : 0;
  const double taken = units_before >= call.units ? call.units : request_part;
  if (taken > 0) {
    slice.tokens += taken;
    slice.uncounted_units = 0;
    if (units_after > pool_burst / 2) exhausted_.erase(call.customer);
  } else {
    slice.earliest_take = now + from_seconds((shortfall - units_before) / (slice.pooled_share * plan.rate));
    mark_exhausted(call.customer, slice, now);
  }
  if (taken < call.units) {
    const CounterCall return_call{CounterPurpose::correct_count, call.customer, 0, 0, 0, now, {}};
    call_counter(name, return_call, (taken / call.units - 1) * call.amount, now);
    return;
  }
  if (units_after > pool_burst) trim_excess(call, name, total, units_after - pool_burst, pool_burst, now);
}

// The units in the pool after the take; negative if the pool held fewer units than were taken. If the total
// is unknown, a pool that is known to be exhausted is assumed to have held nothing before the take, and any
// other pool to have held exactly the amount taken.
double QuotaPool::units_after_take(const CounterCall& call, const QuotaSlice& slice,
                                   std::optional<double> total, Duration now) const {
  if (!total) return exhausted_.contains(call.customer, now) ? -call.amount : 0;
  const QuotaPlan& plan = settings_.plans[slice.plan];
  const double pool_burst = slice.pooled_share * plan.burst;
  const double seconds_into_period = to_seconds((call.unix_sent_at + period_offset(call.customer)) % kPeriod);
  return pool_burst + slice.pooled_share * plan.rate * seconds_into_period - *total;
}

// Removes units that exceed the pool's burst by adding them to the count. The first gateway to take from a
// pool removes the whole excess. Later ones trim with a probability that grows with the excess, and remove at
// most one burst, because other gateways may be trimming the same pool at the same time.
void QuotaPool::trim_excess(const CounterCall& call, std::string_view name, std::optional<double> total,
                            double excess, double pool_burst, Duration now) {
  const bool is_first_take = total && *total < (1 + kCounterRelativeError) * call.amount + kCounterRounding;
  if (!is_first_take && !random_.chance(excess / pool_burst)) return;
  const CounterCall trim_call{CounterPurpose::correct_count, call.customer, 0, 0, 0, now, {}};
  call_counter(name, trim_call, is_first_take ? excess : std::min(excess, pool_burst), now);
}

void QuotaPool::mark_exhausted(const std::string& customer, const QuotaSlice& slice, Duration now) {
  if (!exhausted_.contains(customer, now)) announce_exhausted(customer, slice, now);
  exhausted_.insert(customer, now);
}

// Sends gossip to the customer's other gateways, because some of them may not be able to call the counter.
void QuotaPool::announce_exhausted(const std::string& customer, const QuotaSlice& slice, Duration now) {
  const double rate_limit = settings_.capabilities.gossip_rate_limit;
  if (rate_limit <= 0 || now < earliest_announcement_) return;
  const int gateway_spread = static_cast<int>(std::lround(1 / slice.gateway_share));
  earliest_announcement_ = now + from_seconds(gateway_spread / kAnnouncementShare / rate_limit);
  for (int i = 0; i < gateway_spread; ++i) {
    const int peer = (slice.first_gateway + i) % settings_.gateway_count;
    if (peer != settings_.gateway_index) effects_.send_gossip(peer, ExhaustedPools::encode(customer));
  }
}

void QuotaPool::call_counter(std::string_view name, CounterCall call, double amount, Duration now) {
  call.amount = amount;
  call.sent_at = now;
  call.unix_sent_at = clock_.unix_time(now);
  pending_calls_[std::string(name)].push_back(std::move(call));
  ++pending_call_count_;
  effects_.add_to_counter(name, amount, kPoolNameLifetime);
}

// The name consists of the customer and the number of the pool's current period.
std::string QuotaPool::pool_name(const std::string& customer, Duration now) const {
  return customer + ":" + std::to_string((clock_.unix_time(now) + period_offset(customer)) / kPeriod);
}

// The surplus is the slice's inflow over kSurplusSeconds that exceeds demand and its headroom. The slice
// keeps at least the units of one request of peak size.
void QuotaPool::contribute_surplus(const std::string& customer, QuotaSlice& slice, Duration now) {
  if (slice.pooled_share <= 0 || !counter_health_.available(now) || has_too_many_calls()) return;
  slices_.refill(slice, now);
  const double local_rate = slice.rate * (1 - slice.pooled_share);
  const double unused = (local_rate / kDemandHeadroomDivisor - slice.demand_rate) * kSurplusSeconds;
  const double surplus = std::min(unused, slice.tokens - slice.peak_request_units);
  if (surplus < settings_.plans[slice.plan].burst * kMinContributionShare) return;
  slice.tokens -= surplus;
  const CounterCall contribution{CounterPurpose::contribute_surplus, customer, surplus, 0, 0, now, {}};
  call_counter(pool_name(customer, now), contribution, -surplus, now);
}

// The probability is proportional to the request's units, because a wrong decision on a larger request
// affects more units.
double QuotaPool::call_probability(const Request& request) const {
  return std::min(1.0,
                  counter_health_.call_share() * request.units / std::max(mean_request_units_, kMinAmount));
}

}  // namespace ironquay
