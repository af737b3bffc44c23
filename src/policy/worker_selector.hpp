// Selects the worker for an attempt: draws two workers at random and selects the less loaded one (power of
// two choices).
#pragma once
#include <optional>

#include "policy/concurrency_limiter.hpp"
#include "policy/random.hpp"
#include "policy/request.hpp"
#include "policy/retry_policy.hpp"
#include "policy/settings.hpp"
#include "policy/slow_start.hpp"
#include "policy/worker_registry.hpp"
#include "policy/worker_subset.hpp"

namespace ironquay {

class WorkerSelector {
 public:
  WorkerSelector(const PolicySettings& settings, WorkerRegistry& workers, const WorkerSubset& subset,
                 const SlowStart& slow_start, const ConcurrencyLimiter& limiter,
                 const RetryPolicy& retry_policy, RandomSource& random)
      : settings_(settings),
        workers_(workers),
        subset_(subset),
        slow_start_(slow_start),
        limiter_(limiter),
        retry_policy_(retry_policy),
        random_(random) {}

  // Returns the worker for the request's next attempt. Empty if the attempt can be sent to none of the
  // workers that were drawn.
  std::optional<WorkerId> select(const Request& request, Duration now);

  // Whether an attempt of the request can be sent to the worker now.
  bool can_send_to(const Request& request, WorkerId id, Duration now) const;

 private:
  // Updates the slow-start budget of the worker at this position (see worker_at_position()) and returns
  // whether the request's next attempt can be sent to the worker.
  bool refill_and_check(const Request& request, std::size_t position, Duration now);
  // The worker's attempts in flight plus one for the next attempt, times its relative latency, divided by its
  // relative capacity. Of two workers, the one with the lower score is selected.
  double load_score(WorkerId id) const;
  // The ready worker at this position, counted from the first worker of this gateway's subset.
  WorkerId worker_at_position(std::size_t position) const;
  // The inputs to SlowStart::refill_budget().
  SlowStartInputs slow_start_inputs() const;

  const PolicySettings& settings_;
  WorkerRegistry& workers_;
  const WorkerSubset& subset_;
  const SlowStart& slow_start_;
  const ConcurrencyLimiter& limiter_;
  const RetryPolicy& retry_policy_;
  RandomSource& random_;
};

}  // namespace ironquay
