// Slow start: limits the attempts sent to a worker that has just started and does not have its full capacity
// yet (a warming worker).
//
// If the gateways together overload a warming worker, it fails and does not recover. Each gateway therefore
// keeps a token bucket of attempts for each warming worker, the slow-start budget. It refills at the rate at
// which this gateway sends attempts to one warm worker, times the share of its full capacity that the warming
// worker already has. docs/design.md shows that the attempts permitted by the buckets of all gateways
// together do not overload the worker.
#pragma once
#include "policy/settings.hpp"
#include "policy/shared_clock.hpp"
#include "policy/worker.hpp"

namespace ironquay {

// The inputs to SlowStart::refill_budget() that are the same for all workers.
struct SlowStartInputs {
  double send_rate = 0;           // this gateway's attempts per second to warm workers
  std::size_t subset_size = 1;    // number of workers in this gateway's subset
  std::size_t ready_workers = 0;  // number of ready workers, warm or not
  std::size_t warm_workers = 0;   // number of ready workers with their full capacity
};

class SlowStart {
 public:
  // Both arguments must outlive this object. All gateways must have the same Unix time for their time slots.
  SlowStart(const PolicySettings& settings, const SharedClock& clock) : settings_(settings), clock_(clock) {}

  // The guaranteed share of its full capacity that the worker has now; 1 for a warm worker.
  double capacity_share(const Worker& worker, Duration now) const;
  bool is_warm(const Worker& worker, Duration now) const { return capacity_share(worker, now) >= 1; }

  // Refills the worker's budget for the time since the last call. The budget of a worker outside this
  // gateway's subset refills at the minimum rate only. Otherwise hundreds of gateways could accumulate
  // budgets for one worker and spend them at the same time.
  void refill_budget(Worker& worker, bool in_subset, const SlowStartInputs& inputs, Duration now) const;

  // Whether the worker may be sent an attempt now; always true for a warm worker.
  bool may_send(const Worker& worker, Duration now) const;

  // Whether an attempt that was charged to the budget at `decided_at` may still be written to its connection.
  // Attempts that waited for a connection for a long time would reach the worker together, faster than the
  // budgets allow.
  bool may_still_send(const Worker& worker, Duration decided_at, Duration now) const;

 private:
  // Whether now is this gateway's time slot. Each overload window is divided into one slot per gateway, in
  // the order of the gateways' indices.
  bool is_in_time_slot(Duration now) const;

  const PolicySettings& settings_;
  const SharedClock& clock_;
};

}  // namespace ironquay
