#include "policy/slow_start.hpp"

#include <algorithm>

#include "policy/duration.hpp"

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// All gateways together may always send a warming worker this many attempts per second times its capacity
// share, so that a gateway that has just started and sends little can observe it too.
constexpr double kMinTotalRate = 4;
// kMinTotalRate is divided by the number of gateways, but by no less than this number.
constexpr int kMinRateDivisor = 8;
// For this number of overload windows after a worker's start, each gateway sends attempts to the worker only
// in the gateway's own time slot. Longer use of time slots left new workers idle during a long release.
constexpr int kTimeSlotWindows = 2;
// An attempt may wait for its connection for up to the overload window divided by this number. With 4, the
// attempts that arrive within one window were decided within 1.25 windows, so delays add at most a quarter to
// the worker's load.
constexpr int kSendDelayDivisor = 4;

}  // namespace

double SlowStart::capacity_share(const Worker& worker, Duration now) const {
  const ContractSettings& contract = settings_.contract;
  const double window_seconds = std::max(to_seconds(contract.slow_start_window), 1e-3);
  const double progress = to_seconds(now - worker.started_at) / window_seconds;
  if (worker.started_at <= 0s || progress >= 1) return 1;
  return contract.initial_capacity_share + (1 - contract.initial_capacity_share) * std::max(0.0, progress);
}

void SlowStart::refill_budget(Worker& worker, bool in_subset, const SlowStartInputs& inputs,
                              Duration now) const {
  const double capacity = capacity_share(worker, now);
  if (capacity >= 1) return;
  const auto ready_workers = static_cast<double>(inputs.ready_workers);
  const double warm_fraction = static_cast<double>(inputs.warm_workers) / std::max(1.0, ready_workers);
  const double warm_in_subset = std::max(1.0, static_cast<double>(inputs.subset_size) * warm_fraction);
  const double min_send_rate = kMinTotalRate / std::max(kMinRateDivisor, settings_.gateway_count);
  const double rate = capacity * std::max(min_send_rate, in_subset ? inputs.send_rate / warm_in_subset : 0);
  const double max_budget = std::max(1.0, rate * to_seconds(settings_.contract.overload_window));
  const double elapsed = to_seconds(now - worker.budget_updated_at);
  worker.slow_start_budget = std::min(max_budget, worker.slow_start_budget + rate * elapsed);
  worker.budget_updated_at = now;
}

bool SlowStart::may_send(const Worker& worker, Duration now) const {
  if (is_warm(worker, now)) return true;
  if (worker.slow_start_budget < 1) return false;
  const bool uses_time_slots =
      now - worker.started_at < kTimeSlotWindows * settings_.contract.overload_window;
  return !uses_time_slots || is_in_time_slot(now);
}

bool SlowStart::may_still_send(const Worker& worker, Duration decided_at, Duration now) const {
  return is_warm(worker, now) || now - decided_at <= settings_.contract.overload_window / kSendDelayDivisor;
}

bool SlowStart::is_in_time_slot(Duration now) const {
  const int gateways = std::max(1, settings_.gateway_count);
  const Duration slot = std::max<Duration>(settings_.contract.overload_window / gateways, 1us);
  return (clock_.unix_time(now) / slot) % settings_.gateway_count == settings_.gateway_index;
}

}  // namespace ironquay
