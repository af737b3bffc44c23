#include "policy/load_balancer.hpp"

#include <algorithm>
#include <cmath>

#include "policy/duration.hpp"

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// A timer that fires this late tells that the process stood still.
constexpr Duration kProcessPause = 100ms;
// Well within the time after which a polled list counts as out of date.
constexpr Duration kMaxPollRetry = 1s;
constexpr int kPollRetryDivisor = 4;
// Requests queued beside as many as are in flight.
constexpr std::size_t kMinimumQueue = 4;
// Queued requests that find no worker before the rest of the queue is left for later.
constexpr int kMaxQueueMisses = 4;
// Above these loads of the fleet no request is admitted beyond its quota, and none is retried that may have
// been executed.
constexpr double kOverQuotaLoad = 0.5, kRetryLoad = 0.9;

}  // namespace

// A condition and what is done while it holds. After each one the rules are gone through from the first
// again.
struct LoadBalancer::Rule {
  bool (*holds)(const LoadBalancer&);
  void (LoadBalancer::*apply)();
};

void LoadBalancer::apply_rules() {
  using Self = const LoadBalancer&;
  static constexpr Rule kRules[] = {
      {[](Self self) { return self.requests_.earliest_deadline() <= self.now_; },
       &LoadBalancer::answer_overdue},
      {[](Self self) { return !self.admissions_.empty(); }, &LoadBalancer::admit_next},
      {[](Self self) { return self.capacity_changed_ && !self.requests_.queue().empty(); },
       &LoadBalancer::send_queued},
      {[](Self self) { return self.requests_.queue().size() > self.queue_limit(); },
       &LoadBalancer::shed_excess},
      {[](Self self) { return !self.endpoint_polls_.empty() && *self.endpoint_polls_.begin() <= self.now_; },
       &LoadBalancer::poll_endpoints},
      {[](Self self) { return self.quota_.next_rebalance() <= self.now_; }, &LoadBalancer::rebalance_quota},
      {[](Self self) { return self.next_timer() < self.timer_; }, &LoadBalancer::update_timer},
  };
  const Rule* rule = std::begin(kRules);
  while (rule != std::end(kRules)) {
    const bool fires = rule->holds(*this);
    if (fires) (this->*rule->apply)();
    rule = fires ? std::begin(kRules) : rule + 1;
  }
}

LoadBalancer::LoadBalancer(PolicySettings settings, std::uint32_t seed, Duration now, Effects& effects)
    : settings_(std::move(settings)),
      effects_(effects),
      now_(now),
      random_(seed),
      subset_(settings_, now),
      slow_start_(settings_),
      workers_(slow_start_, subset_),
      retry_policy_(settings_),
      limiter_(workers_, subset_),
      observer_(settings_, limiter_, overload_, routes_),
      timing_(settings_, routes_),
      selector_(settings_, workers_, subset_, slow_start_, limiter_, retry_policy_, random_),
      quota_(settings_, random_, effects) {
  routes_.resize(settings_.routes.size());
  if (settings_.capabilities.polls_endpoints) endpoint_polls_.insert(now);
}

void LoadBalancer::begin_event(Duration now) {
  now_ = now;
  if (timer_ < now - kProcessPause) observer_.process_resumed(now);
}

// ---- Timer

void LoadBalancer::on_timer(Duration now) {
  begin_event(now);
  if (timer_ <= now) timer_ = Duration::max();
  apply_rules();
}

void LoadBalancer::update_timer() {
  timer_ = next_timer();
  effects_.set_timer(timer_);
}

Duration LoadBalancer::next_timer() const {
  const Duration poll = endpoint_polls_.empty() ? Duration::max() : *endpoint_polls_.begin();
  return std::min({requests_.earliest_deadline(), poll, quota_.next_rebalance()});
}

// ---- Endpoint list

void LoadBalancer::on_endpoint_list_begin(Duration now, EndpointListKind kind) {
  begin_event(now);
  workers_.begin_list(kind);
}

void LoadBalancer::on_endpoint(Duration now, const EndpointUpdate& update) {
  begin_event(now);
  workers_.update(update, now);
}

void LoadBalancer::on_endpoint_list_end(Duration now) {
  begin_event(now);
  if (workers_.end_list(now)) {
    capacity_changed_ = true;
  } else if (settings_.capabilities.polls_endpoints) {
    const Duration retry = settings_.contract.poll_deadline / kPollRetryDivisor;
    endpoint_polls_.insert(now + std::min<Duration>(kMaxPollRetry, retry));
  }
  apply_rules();
}

void LoadBalancer::poll_endpoints() {
  endpoint_polls_.erase(endpoint_polls_.begin());
  effects_.subscribe_endpoints(true);
}

void LoadBalancer::on_health_check_end(Duration now, WorkerId, Outcome, Duration) { begin_event(now); }

// ---- Quota

void LoadBalancer::on_counter_reply(Duration now, const CounterReply& reply) {
  begin_event(now);
  if (!quota_.pool().awaits_reply(reply.name)) return;
  const std::optional<PoolVerdict> verdict = quota_.pool().on_counter_reply(reply, requests_, now);
  if (verdict) apply_quota(verdict->request, verdict->within_quota, verdict->retry_after);
  apply_rules();
}

void LoadBalancer::on_gossip(Duration now, int, std::string_view message) {
  begin_event(now);
  quota_.pool().on_gossip(message, now);
}

void LoadBalancer::rebalance_quota() { quota_.rebalance_next(now_); }

// ---- Requests

void LoadBalancer::on_request(Duration now, const IncomingRequest& incoming) {
  begin_event(now);
  const RequestId id = incoming.id;
  Request& request = accept(incoming);
  QuotaSlice& slice = quota_.slice(request.customer, request.plan, incoming.gateway_spread, now);
  slice.first_gateway = incoming.first_gateway;
  const QuotaVerdict verdict = quota_.check(request, slice, incoming.is_retry, now);
  const bool permitted = quota_.slices().permits_attempt(request, slice);
  if (request.deadline <= now) {
    answer_unserved(id, settings_.capabilities.max_retry_after);
  } else if (verdict == QuotaVerdict::take_from_pool && permitted && now >= slice.next_pool_call) {
    quota_.pool().take_for_request(id, request, slice, now);
  } else {
    const bool within_quota = verdict == QuotaVerdict::within_quota && permitted;
    apply_quota(id, within_quota, quota_.slices().time_to_cover(slice, request.units));
  }
  apply_rules();
}

Request& LoadBalancer::accept(const IncomingRequest& incoming) {
  RouteStatistics& route = routes_[incoming.route];
  route.record_request(incoming.units, incoming.is_retry, incoming.time_left);
  Request& request = requests_.insert(incoming.id);
  request.route = incoming.route;
  request.plan = incoming.plan;
  request.customer = std::string(incoming.customer);
  request.units = incoming.units;
  request.queue_rank = queue_rank(request);
  request.over_quota = true;  // until its units are taken from the quota
  if (route.mean_latency() > 0) overload_.record_rank(request.queue_rank);
  requests_.set_deadline(incoming.id, timing_.answer_deadline(incoming, now_));
  return request;
}

// Weight for its work, without the plan's factor: no plan is to fail alone.
double LoadBalancer::queue_rank(const Request& request) const {
  const RouteStatistics& route = routes_[request.route];
  return -settings_.routes[request.route].priority_weight * route.mean_units() /
         std::max(route.mean_latency(), 1e-3);
}

void LoadBalancer::apply_quota(RequestId id, bool within_quota, Duration retry_after) {
  Request& request = requests_.at(id);
  const QuotaPlan& plan = settings_.plans[request.plan];
  const bool overage_pays = plan.overage_value > plan.overage_cost;
  if (!within_quota && (!overage_pays || load() >= kOverQuotaLoad)) {
    answer_unserved(id, retry_after);
    return;
  }
  request.over_quota = !within_quota;
  if (within_quota) {
    quota_.slices().charge(request);
  } else {
    request.queue_rank = 0;  // behind everything within a quota
  }
  admissions_.push_back(id);
}

void LoadBalancer::admit_next() {
  const RequestId id = admissions_.front();
  admissions_.pop_front();
  const Request* request = requests_.find(id);
  if (request == nullptr) return;
  const bool in_flight = std::any_of(request->attempts.begin(), request->attempts.end(),
                                     [](const Attempt& attempt) { return attempt.in_flight; });
  if (in_flight) return;
  if (!may_queue(*request)) {
    answer_unserved(id, settings_.capabilities.max_retry_after);
    return;
  }
  requests_.enqueue(id);
  capacity_changed_ = true;
}

bool LoadBalancer::may_queue(const Request& request) {
  if (!retry_policy_.allowed_actions(request, now_).send) return false;
  const bool may_have_executed =
      std::any_of(request.attempts.begin(), request.attempts.end(),
                  [](const Attempt& attempt) { return attempt.may_have_executed; });
  if (may_have_executed && load() > kRetryLoad) return false;
  return overload_.admits(request.queue_rank, random_);
}

void LoadBalancer::send_queued() {
  capacity_changed_ = false;
  int misses = 0;
  const RequestTable::Queue& queue = requests_.queue();
  for (auto next = queue.begin(); next != queue.end() && misses < kMaxQueueMisses;) {
    const RequestId id = next->second;
    ++next;
    if (!try_send(id)) ++misses;
  }
}

// False if the request stays queued.
bool LoadBalancer::try_send(RequestId id) {
  Request& request = requests_.at(id);
  QuotaSlice& slice = quota_.slice(request.customer, request.plan, 1, now_);
  quota_.slices().refill(slice, now_);
  if (const auto wait = quota_.slices().ceiling_wait(request, slice)) {
    answer_unserved(id, *wait);
    return true;
  }
  // The time in which a repeat is discarded may have passed while the request was queued.
  const bool may_send = retry_policy_.allowed_actions(request, now_).send;
  if (!may_send || now_ + timing_.expected_latency(request) > request.deadline) {
    answer_unserved(id, settings_.capabilities.max_retry_after);
    return true;
  }
  const std::optional<WorkerId> worker = selector_.select(request, now_);
  if (!worker) return false;
  send_attempt(id, request, *worker);
  return true;
}

void LoadBalancer::send_attempt(RequestId id, Request& request, WorkerId worker_id) {
  Worker& worker = workers_.at(worker_id);
  requests_.dequeue(id);
  quota_.slices().attempt_started(request);
  const bool warm = slow_start_.is_warm(worker, now_);
  if (!warm) worker.slow_start_budget -= 1;
  workers_.attempt_started(worker);
  subset_.record_send(now_, warm);
  request.attempts.push_back({worker_id, worker.zone, worker.cell, now_, true, true});
  effects_.send_attempt(id, worker_id, timing_.attempt_timeout(request, load(), now_));
}

double LoadBalancer::load() const { return std::max(overload_.shed_share(), workers_.utilization()); }

std::size_t LoadBalancer::queue_limit() const {
  return kMinimumQueue + static_cast<std::size_t>(workers_.in_flight());
}

void LoadBalancer::shed_excess() {
  answer_unserved(requests_.queue().rbegin()->second, settings_.capabilities.max_retry_after);
}

// ---- Ends

void LoadBalancer::on_response_start(Duration now, RequestId id, std::size_t) {
  begin_event(now);
  if (Request* request = requests_.find(id)) {
    request->streaming = true;
    requests_.clear_deadline(id);
  }
  apply_rules();
}

void LoadBalancer::on_attempt_end(Duration now, const AttemptResult& result) {
  begin_event(now);
  if (workers_.attempt_ended(result.worker)) capacity_changed_ = true;
  Request* request = requests_.find(result.request);
  if (request == nullptr) {
    apply_rules();
    return;
  }
  if (Worker* worker = workers_.find(result.worker)) {
    observer_.record(*worker, *request, result.outcome, result.elapsed, now);
  }
  if (result.attempt < request->attempts.size() && request->attempts[result.attempt].in_flight) {
    Attempt& attempt = request->attempts[result.attempt];
    attempt.in_flight = false;
    attempt.may_have_executed = may_have_executed(result.outcome);
    quota_.slices().attempt_ended(*request);
  }
  if (result.outcome == Outcome::success) quota_.slices().correct_units(*request, result.actual_units);
  if (result.request_finished) {
    forget(result.request);
  } else {
    admissions_.push_back(result.request);
  }
  apply_rules();
}

void LoadBalancer::on_client_disconnect(Duration now, RequestId id) {
  begin_event(now);
  if (requests_.find(id) != nullptr) forget(id);
  apply_rules();
}

void LoadBalancer::on_deadline_shortened(Duration now, RequestId id, Duration time_left) {
  begin_event(now);
  const Request* request = requests_.find(id);
  if (request != nullptr && !request->streaming) {
    const Duration deadline = timing_.answer_deadline(time_left, now);
    requests_.set_deadline(id, std::min(request->deadline, deadline));
  }
  apply_rules();
}

void LoadBalancer::answer_overdue() {
  answer_unserved(requests_.next_due(), settings_.capabilities.max_retry_after);
}

// Gives the request its final answer, which is no response of a worker.
void LoadBalancer::answer_unserved(RequestId id, Duration retry_after) {
  const Request& request = requests_.at(id);
  const AllowedActions allowed = retry_policy_.allowed_actions(request, now_);
  for (const Attempt& attempt : request.attempts) {
    // No response by now says of the worker what a time-out would.
    if (!attempt.in_flight) continue;
    if (Worker* worker = workers_.find(attempt.worker)) {
      observer_.record(*worker, request, Outcome::timed_out, now_ - attempt.sent_at, now_);
    }
  }
  const Capabilities& capabilities = settings_.capabilities;
  const Duration longest = capabilities.retry_after ? capabilities.max_retry_after : Duration(0);
  if (allowed.reject) {
    effects_.reject(id, std::clamp(retry_after, Duration(0), longest));
  } else {
    effects_.fail(id);
  }
  quota_.slices().refund(request);
  forget(id);
}

void LoadBalancer::forget(RequestId id) {
  const Request& request = requests_.at(id);
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (!request.attempts[i].in_flight) continue;
    if (settings_.capabilities.cancel) effects_.cancel_attempt(id, i);
    quota_.slices().attempt_ended(request);
  }
  requests_.erase(id);
}

bool LoadBalancer::may_send_attempt(Duration now, RequestId id, std::size_t attempt) const {
  const Request* request = requests_.find(id);
  if (request == nullptr || attempt >= request->attempts.size()) return false;
  const Attempt& waiting = request->attempts[attempt];
  const Worker* worker = workers_.find(waiting.worker);
  if (worker == nullptr || worker->status != WorkerStatus::ready) return false;
  if (!slow_start_.may_still_send(*worker, waiting.sent_at, now)) return false;
  return retry_policy_.may_still_send(*request, attempt, now);
}

}  // namespace ironquay
