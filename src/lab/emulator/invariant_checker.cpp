#include "lab/emulator/invariant_checker.hpp"

#include <cmath>

#include "lab/emulator/slow_start.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

// A response that is on its way when the client times out still counts as in time, so a gateway may respond
// this long after the deadline.
constexpr Duration kDeadlineTolerance = 8ms;
// Units by which a customer may exceed its ceiling, because rounding errors accumulate.
constexpr double kUnitTolerance = 1e-6;
// Arrivals at a worker vary like a Poisson process. The allowed number of arrivals is the expected number,
// plus this many standard deviations, plus a constant, which matters if the expected number is small.
constexpr double kArrivalDeviations = 2;
constexpr double kExtraArrivals = 2;
// The same where fewer arrivals than kFewArrivals are expected.
constexpr double kFewArrivals = 30;
constexpr double kFewArrivalDeviations = 3;
constexpr double kFewExtraArrivals = 3;

// ---- Texts of the violated rules, which are part of the program's output

constexpr char kSecondResponse[] = "one final answer: a second one";
constexpr char kLateResponse[] = "one final answer: too late";
constexpr char kNoResponse[] = "one final answer: none came";
constexpr char kSentAfterResponse[] = "one final answer: sent after it";
constexpr char kRejectedAfterExecution[] = "no effect twice: rate-limited though it may have run";
constexpr char kConcurrentAttempts[] = "no effect twice: two tries out";
constexpr char kExecutedAgain[] = "no effect twice: sent again though it may have run";
constexpr char kSentOutsideDedupScope[] = "no effect twice: sent where its repeat is not known";
constexpr char kSentToDraining[] = "drains kept: sent to a worker that drains or is gone";
constexpr char kWarmingUpWorkerOverloaded[] = "cold workers not pushed over: one fell";
constexpr char kCeilingExceeded[] = "ceilings kept: passed";

}  // namespace

// Records the first violation.
void InvariantChecker::report(Duration now, const char* rule, RequestId id, int worker) {
  if (!violation_) violation_ = InvariantViolation{now, rule, id, worker};
}

// Returns the request if it has not received its response yet, otherwise null.
InvariantChecker::OpenRequest* InvariantChecker::find_pending(RequestId id) {
  const auto found = requests_.find(id);
  return found != requests_.end() && found->second.response_pending ? &found->second : nullptr;
}

void InvariantChecker::on_request_received(Duration now, const ReceivedRequest& request) {
  const Duration deadline = now + request.client_timeout;
  deadlines_.emplace(deadline, request.id);
  requests_[request.id] = {request.route, request.plan, request.customer, request.units, deadline, {}, true};
}

void InvariantChecker::on_response(Duration now, RequestId id, bool rejected) {
  OpenRequest* request = find_pending(id);
  if (!request) return report(now, kSecondResponse, id);
  if (now > request->deadline + kDeadlineTolerance) report(now, kLateResponse, id);
  request->response_pending = false;
  const Route& route = route_of(*request);
  // A client's retry may reach a worker in another cell or zone, which does not discard it as a repeat.
  const bool retry_may_duplicate =
      route.idempotency == Idempotency::non_idempotent ||
      (route.idempotency == Idempotency::keyed && route.dedup_scope != DedupScope::all);
  if (!rejected || !retry_may_duplicate) return;
  for (const Attempt& attempt : request->attempts)
    if (attempt.may_have_executed) report(now, kRejectedAfterExecution, id);
}

void InvariantChecker::on_request_dropped(RequestId id) { requests_.erase(id); }

void InvariantChecker::on_attempt_sent(Duration now, RequestId id, int gateway, int worker, int cell) {
  OpenRequest* request = find_pending(id);
  if (!request) return report(now, kSentAfterResponse, id, worker);
  check_draining(now, id, {gateway, worker});
  check_duplicates(now, id, *request, worker, cell);
  if (request->attempts.empty()) check_ceiling(now, id, *request, worker);
  request->attempts.push_back({now, cell, true, true});
}

void InvariantChecker::check_draining(Duration now, RequestId id, Endpoint endpoint) {
  const auto unavailable = unavailable_since_.find(endpoint);
  if (unavailable != unavailable_since_.end() && now > unavailable->second + scenario_.workers.drain_grace)
    report(now, kSentToDraining, id, endpoint.worker);
}

void InvariantChecker::check_duplicates(Duration now, RequestId id, const OpenRequest& request, int worker,
                                        int cell) {
  const Attempt* first_possible_execution = nullptr;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.in_flight) report(now, kConcurrentAttempts, id, worker);
    if (attempt.may_have_executed && !first_possible_execution) first_possible_execution = &attempt;
  }
  if (!first_possible_execution) return;
  const Route& route = route_of(request);
  if (route.idempotency == Idempotency::non_idempotent) report(now, kExecutedAgain, id, worker);
  const bool repeat_is_discarded =
      first_possible_execution->cell == cell && now <= first_possible_execution->sent_at + route.dedup_window;
  if (route.idempotency == Idempotency::keyed && !repeat_is_discarded)
    report(now, kSentOutsideDedupScope, id, worker);
}

void InvariantChecker::check_ceiling(Duration now, RequestId id, const OpenRequest& request, int worker) {
  const QuotaPlan& plan = scenario_.policy_settings.plans[request.plan];
  if (plan.ceiling_rate <= 0) return;
  const TokenBucket full_bucket(plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_burst, now);
  TokenBucket& ceiling = ceilings_.try_emplace(request.customer, full_bucket).first->second;
  ceiling.refill(now);
  ceiling.take(request.units);
  if (ceiling.tokens() < -kUnitTolerance) report(now, kCeilingExceeded, id, worker);
}

void InvariantChecker::on_attempt_end(RequestId id, std::size_t attempt_index, bool may_have_executed) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || attempt_index >= found->second.attempts.size()) return;
  found->second.attempts[attempt_index].in_flight = false;
  found->second.attempts[attempt_index].may_have_executed = may_have_executed;
}

void InvariantChecker::on_endpoint_update(Duration now, int gateway, int worker, WorkerStatus status) {
  if (status == WorkerStatus::ready) {
    unavailable_since_.erase({gateway, worker});
  } else {
    unavailable_since_.try_emplace({gateway, worker}, now);
  }
}

void InvariantChecker::on_gateway_crash(int gateway) {
  std::erase_if(unavailable_since_, [&](const auto& entry) { return entry.first.gateway == gateway; });
}

void InvariantChecker::on_worker_start(Duration now, int worker) { warming_up_workers_[worker] = {now, {}}; }

void InvariantChecker::on_worker_arrival(Duration now, int worker) {
  const auto found = warming_up_workers_.find(worker);
  if (found == warming_up_workers_.end()) return;
  WarmingUpWorker& warming_up_worker = found->second;
  const ContractSettings& contract = scenario_.policy_settings.contract;
  const double progress = warm_up_progress(contract, now - warming_up_worker.started_at);
  if (progress >= 1) return void(warming_up_workers_.erase(found));
  warming_up_worker.recent_arrivals.push_back(now);
  while (warming_up_worker.recent_arrivals.front() + contract.overload_window < now)
    warming_up_worker.recent_arrivals.pop_front();
  const auto arrivals = static_cast<double>(warming_up_worker.recent_arrivals.size());
  const double allowed = allowed_arrivals(progress);
  peak_slow_start_load_ = std::max(peak_slow_start_load_, arrivals / allowed);
  if (arrivals > allowed) report(now, kWarmingUpWorkerOverloaded, 0, worker);
}

// The number of attempts that may arrive at a warming-up worker within one overload window, at this progress
// of its warm-up.
double InvariantChecker::allowed_arrivals(double progress) const {
  const ContractSettings& contract = scenario_.policy_settings.contract;
  double weighted_work = 0;
  double total_weight = 0;
  for (const RouteTraffic& route : scenario_.routes) {
    weighted_work += route.weight * to_seconds(route.mean_work);
    total_weight += route.weight;
  }
  const double mean_work = weighted_work / total_weight;
  const double capacity_fraction = capacity_share(contract, progress);
  const double expected_arrivals = scenario_.workers.overload_multiple * capacity_fraction *
                                   scenario_.workers.cores / mean_work * to_seconds(contract.overload_window);
  const bool few = expected_arrivals < kFewArrivals;
  const double deviations = few ? kFewArrivalDeviations : kArrivalDeviations;
  return expected_arrivals + deviations * std::sqrt(expected_arrivals) +
         (few ? kFewExtraArrivals : kExtraArrivals);
}

// Removes the requests whose deadlines have passed. The checker needs no record of them: it reports any later
// response or attempt as a violation because it does not find the request.
void InvariantChecker::check_deadlines(Duration now) {
  while (!deadlines_.empty() && now > deadlines_.begin()->first + kDeadlineTolerance) {
    const auto found = requests_.find(deadlines_.begin()->second);
    deadlines_.erase(deadlines_.begin());
    if (found == requests_.end()) continue;
    if (found->second.response_pending) report(now, kNoResponse, found->first);
    requests_.erase(found);
  }
}

}  // namespace ironquay::lab
