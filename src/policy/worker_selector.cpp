#include "policy/worker_selector.hpp"

#include <algorithm>

namespace ironquay {
namespace {

// The maximum number of pairs of workers that are drawn for one attempt.
constexpr int kMaxDraws = 8;
// This many draws select from this gateway's subset of the workers. The remaining ones select from all ready
// workers.
constexpr int kDrawsInSubset = 6;
// The number of attempts added to the load score of a worker in another zone if traffic between zones has a
// cost.
constexpr double kCrossZoneAttempts = 0.5;

}  // namespace

std::optional<WorkerId> WorkerSelector::select(const Request& request, Duration now) {
  const std::size_t ready_count = workers_.ready().size();
  if (ready_count == 0) return std::nullopt;
  for (int draw = 0; draw < kMaxDraws; ++draw) {
    // A repeat of an earlier attempt may be sent only to workers that discard it, and the subset may contain
    // none of them.
    const bool use_all_workers =
        draw >= kDrawsInSubset || retry_policy_.allowed_actions(request, now).repeated_attempt != nullptr;
    const std::size_t candidate_count = use_all_workers ? ready_count : subset_.size(ready_count);
    const std::size_t first = random_.below(candidate_count);
    const std::size_t distance = 1 + random_.below(std::max<std::size_t>(1, candidate_count - 1));
    const std::size_t second = (first + distance) % candidate_count;
    const bool first_usable = refill_and_check(request, first, now);
    const bool second_usable = refill_and_check(request, second, now);
    if (!first_usable && !second_usable) continue;
    const WorkerId first_worker = worker_at_position(first);
    const WorkerId second_worker = worker_at_position(second);
    const bool use_first =
        first_usable && (!second_usable || load_score(first_worker) <= load_score(second_worker));
    return use_first ? first_worker : second_worker;
  }
  return std::nullopt;
}

bool WorkerSelector::can_send_to(const Request& request, WorkerId id, Duration now) const {
  const Worker& worker = workers_.at(id);
  if (worker.status != WorkerStatus::ready) return false;
  if (!limiter_.may_send(worker, now) || !slow_start_.may_send(worker, now)) return false;
  const AllowedActions allowed = retry_policy_.allowed_actions(request, now);
  if (!allowed.send || allowed.repeated_attempt == nullptr) return allowed.send;
  const Route& route = settings_.routes[request.route];
  return retry_policy_.discards_repeat(route, *allowed.repeated_attempt, worker.zone, worker.cell);
}

bool WorkerSelector::refill_and_check(const Request& request, std::size_t position, Duration now) {
  const std::size_t ready_count = workers_.ready().size();
  const WorkerId id = worker_at_position(position);
  // A retry uses a different worker than the previous attempt if more than one is ready.
  if (ready_count > 1 && !request.attempts.empty() && request.attempts.back().worker == id) return false;
  const bool in_subset = position < subset_.size(ready_count);
  slow_start_.refill_budget(workers_.at(id), in_subset, slow_start_inputs(), now);
  return can_send_to(request, id, now);
}

double WorkerSelector::load_score(WorkerId id) const {
  const Worker& worker = workers_.at(id);
  const bool crosses_zone = settings_.cross_zone_cost > 0 && worker.zone != settings_.zone;
  const double attempts = worker.in_flight + 1 + (crosses_zone ? kCrossZoneAttempts : 0);
  return attempts * worker.relative_latency / worker.relative_capacity;
}

WorkerId WorkerSelector::worker_at_position(std::size_t position) const {
  const std::size_t ready_count = workers_.ready().size();
  return workers_.ready()[(subset_.offset(ready_count) + position) % ready_count];
}

SlowStartInputs WorkerSelector::slow_start_inputs() const {
  const std::size_t ready_count = workers_.ready().size();
  return {subset_.send_rate(), subset_.size(ready_count), ready_count, workers_.warm_count()};
}

}  // namespace ironquay
