#include "lab/emulator/emulated_counter.hpp"

#include <algorithm>

#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

// Lower bound of a slowdown factor. With a factor of 0, calls would take no simulated time.
constexpr double kMinSlowdown = 1e-3;

}  // namespace

void EmulatedCounter::add(int gateway, std::string_view name, double amount, Duration lifetime,
                          const OnResult& on_result) {
  ++calls_;
  const Duration latency = scenario_.network.one_way_latency;
  const Duration timeout = scenario_.policy_settings.capabilities.counter_timeout;
  const auto report_timeout = [on_result] { on_result(Outcome::timed_out, 0); };
  if (refusing_)
    return events_.schedule_in(2 * latency, [on_result] { on_result(Outcome::connect_failed, 0); });
  if (silent_) return events_.schedule_in(timeout, report_timeout);
  Replica& replica = replica_for(gateway);
  const Duration sent_at = events_.now();
  const Duration arrives_at = sent_at + latency;
  replica.busy_until =
      std::max(replica.busy_until, arrives_at) + from_seconds(slowdown_ / scenario_.counter.rate);
  // The replica executes the call in its turn, even if the gateway's call has timed out by then.
  events_.schedule_at(replica.busy_until, [=, this, &replica, name = std::string(name)] {
    const double total = execute(replica, name, amount, lifetime);
    const Duration reply_arrives_at = events_.now() + latency;
    if (reply_arrives_at <= sent_at + timeout)
      events_.schedule_at(reply_arrives_at, [on_result, total] { on_result(Outcome::success, total); });
  });
  if (replica.busy_until + latency > sent_at + timeout) events_.schedule_in(timeout, report_timeout);
}

// Returns the total after the addition.
double EmulatedCounter::execute(Replica& replica, const std::string& name, double amount, Duration lifetime) {
  Total& total = replica.totals[name];
  if (total.expires_at <= events_.now()) total = {0, events_.now() + lifetime};
  return total.value += amount;
}

void EmulatedCounter::inject(const Fault& fault) {
  begin_fault(fault);
  events_.schedule_in(fault.duration, [this, kind = fault.kind, clears_counter = fault.clears_counter] {
    end_fault(kind, clears_counter);
  });
}

void EmulatedCounter::begin_fault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::counter_refuse:
      refusing_ = true;
      break;
    case FaultKind::counter_silent:
      silent_ = true;
      break;
    case FaultKind::counter_slow:
      slowdown_ = std::max(kMinSlowdown, fault.factor);
      break;
    case FaultKind::counter_split:
      split_ = true;
      replicas_[1] = Replica();
      break;
    default:
      break;
  }
}

void EmulatedCounter::end_fault(FaultKind kind, bool clears_counter) {
  switch (kind) {
    case FaultKind::counter_refuse:
      refusing_ = false;
      break;
    case FaultKind::counter_silent:
      silent_ = false;
      break;
    case FaultKind::counter_slow:
      slowdown_ = 1;
      break;
    case FaultKind::counter_split:
      split_ = false;
      break;
    default:
      break;
  }
  if (clears_counter) replicas_[0].totals.clear();
}

}  // namespace ironquay::lab
