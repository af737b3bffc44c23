#include "policy/load_balancer.hpp"

#include <algorithm>
#include <cmath>

#include "policy/duration.hpp"

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// If the timer is overdue by more than this, the process is assumed to have been suspended.
constexpr Duration kSuspensionThreshold = 100ms;
// After a failed poll the endpoint list is polled again after this time or a quarter of the poll deadline,
// whichever is shorter, so that the list does not become out of date.
constexpr Duration kMaxPollRetryDelay = 1s;
constexpr int kPollRetryDivisor = 4;
// The queue may hold this many requests more than there are attempts in flight.
constexpr std::size_t kMinQueueLimit = 4;
// After no worker was found for this number of queued requests, the remaining ones are not tried.
constexpr int kMaxUnplacedRequests = 4;
// Requests over quota are admitted only while load() is below this value.
constexpr double kMaxOverQuotaLoad = 0.5;
// Requests that may have been executed are not retried while load() is above this value.
constexpr double kMaxRetryLoad = 0.9;

}  // namespace

// An action that is repeated while its condition holds. After each action, apply_rules() checks all
// conditions again, starting with the first rule.
struct LoadBalancer::Rule {
  bool (*holds)(const LoadBalancer&);
  void (LoadBalancer::*apply)();
};

void LoadBalancer::apply_rules() {
  using Self = const LoadBalancer&;
  static constexpr Rule kRules[] = {
      {[](Self self) { return self.requests_.earliest_deadline() <= self.now_; },
       &LoadBalancer::answer_overdue_request},
      {[](Self self) { return !self.pending_admissions_.empty(); }, &LoadBalancer::admit_next},
      {[](Self self) { return self.queue_check_needed_ && !self.requests_.queue().empty(); },
       &LoadBalancer::send_queued},
      {[](Self self) { return self.requests_.queue().size() > self.queue_limit(); },
       &LoadBalancer::shed_last_queued},
      {[](Self self) {
         return !self.endpoint_poll_times_.empty() && *self.endpoint_poll_times_.begin() <= self.now_;
       },
       &LoadBalancer::poll_endpoints},
      {[](Self self) { return self.quota_.next_rebalance() <= self.now_; }, &LoadBalancer::rebalance_quota},
      {[](Self self) { return self.next_timer() < self.timer_; }, &LoadBalancer::update_timer},
  };
  const Rule* rule = std::begin(kRules);
  while (rule != std::end(kRules)) {
    const bool applies = rule->holds(*this);
    if (applies) (this->*rule->apply)();
    rule = applies ? std::begin(kRules) : rule + 1;
  }
}

LoadBalancer::LoadBalancer(PolicySettings settings, std::uint32_t seed, Duration now, Effects& effects)
    : settings_(std::move(settings)),
      effects_(effects),
      now_(now),
      random_(seed),
      subset_(settings_, now),
      slow_start_(settings_, clock_),
      workers_(slow_start_, subset_, clock_),
      retry_policy_(settings_),
      limiter_(workers_, subset_),
      observer_(settings_, limiter_, overload_, route_statistics_),
      timing_(settings_, route_statistics_),
      selector_(settings_, workers_, subset_, slow_start_, limiter_, retry_policy_, random_),
      quota_(settings_, clock_, random_, effects) {
  route_statistics_.resize(settings_.routes.size());
  if (settings_.capabilities.polls_endpoints) endpoint_poll_times_.insert(now);
}

void LoadBalancer::begin_event(Duration now) {
  now_ = now;
  if (timer_ < now - kSuspensionThreshold) observer_.process_resumed(now);
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
  const Duration next_poll = endpoint_poll_times_.empty() ? Duration::max() : *endpoint_poll_times_.begin();
  return std::min({requests_.earliest_deadline(), next_poll, quota_.next_rebalance()});
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
    queue_check_needed_ = true;
  } else if (settings_.capabilities.polls_endpoints) {
    const Duration retry_delay = settings_.contract.poll_deadline / kPollRetryDivisor;
    endpoint_poll_times_.insert(now + std::min<Duration>(kMaxPollRetryDelay, retry_delay));
  }
  apply_rules();
}

void LoadBalancer::poll_endpoints() {
  endpoint_poll_times_.erase(endpoint_poll_times_.begin());
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
  Request& request = add_request(incoming);
  QuotaSlice& slice =
      quota_.find_or_create_slice(request.customer, request.plan, incoming.gateway_spread, now);
  slice.first_gateway = incoming.first_gateway;
  quota_.slices().request_started(request.customer);
  const QuotaVerdict verdict = quota_.record_and_check(request, slice, incoming.is_retry, now);
  const bool attempt_permitted = quota_.slices().permits_attempt(request, slice);
  if (request.deadline <= now) {
    reject_or_fail(id, settings_.capabilities.max_retry_after, UnservedReason::arrived_late);
  } else if (verdict == QuotaVerdict::take_from_pool && attempt_permitted && now >= slice.earliest_take) {
    quota_.pool().take_for_request(id, request, slice, now);
  } else {
    const bool within_quota = verdict == QuotaVerdict::within_quota && attempt_permitted;
    apply_quota(id, within_quota, quota_.slices().time_to_cover(slice, request.units));
  }
  apply_rules();
}

Request& LoadBalancer::add_request(const IncomingRequest& incoming) {
  RouteStatistics& statistics = route_statistics_[incoming.route];
  statistics.record_request(incoming.units, incoming.is_retry, incoming.time_left);
  Request& request = requests_.insert(incoming.id);
  request.route = incoming.route;
  request.plan = incoming.plan;
  request.customer = std::string(incoming.customer);
  request.units = incoming.units;
  request.queue_rank = queue_rank(request);
  request.over_quota = true;  // apply_quota() clears this if the request is within its quota
  if (statistics.mean_latency() > 0) overload_.record_rank(request.queue_rank);
  requests_.set_deadline(incoming.id, timing_.answer_deadline(incoming, now_));
  return request;
}

// The rank is the route's priority weight times its mean units, divided by its mean latency in seconds. It is
// negated because the request with the lowest rank is sent first. The rank does not depend on the quota plan,
// so that an overload does not affect the requests of one plan only.
double LoadBalancer::queue_rank(const Request& request) const {
  const RouteStatistics& statistics = route_statistics_[request.route];
  return -settings_.routes[request.route].priority_weight * statistics.mean_units() /
         std::max(statistics.mean_latency(), 1e-3);
}

void LoadBalancer::apply_quota(RequestId id, bool within_quota, Duration retry_after) {
  Request& request = requests_.at(id);
  const QuotaPlan& plan = settings_.plans[request.plan];
  const bool overage_is_profitable = plan.overage_value_share > plan.overage_cost_share;
  if (!within_quota && (!overage_is_profitable || load() >= kMaxOverQuotaLoad)) {
    reject_or_fail(id, retry_after, UnservedReason::over_quota);
    return;
  }
  request.over_quota = !within_quota;
  if (within_quota) {
    quota_.slices().charge(request);
  } else {
    request.queue_rank = 0;  // requests within their quotas have negative ranks and are sent first
  }
  pending_admissions_.push_back(id);
}

void LoadBalancer::admit_next() {
  const RequestId id = pending_admissions_.front();
  pending_admissions_.pop_front();
  const Request* request = requests_.find(id);
  if (request == nullptr) return;
  const bool in_flight = std::any_of(request->attempts.begin(), request->attempts.end(),
                                     [](const Attempt& attempt) { return attempt.in_flight; });
  if (in_flight) return;
  if (!retry_policy_.allowed_actions(*request, now_).send) {
    reject_or_fail(id, settings_.capabilities.max_retry_after, UnservedReason::retry_not_allowed);
    return;
  }
  if (is_shed(*request)) {
    reject_or_fail(id, settings_.capabilities.max_retry_after, UnservedReason::overload);
    return;
  }
  requests_.enqueue(id);
  queue_check_needed_ = true;
}

bool LoadBalancer::is_shed(const Request& request) {
  const bool may_have_executed =
      std::any_of(request.attempts.begin(), request.attempts.end(),
                  [](const Attempt& attempt) { return attempt.may_have_executed; });
  if (may_have_executed && load() > kMaxRetryLoad) return true;
  return !overload_.admits(request.queue_rank, random_);
}

void LoadBalancer::send_queued() {
  queue_check_needed_ = false;
  int unplaced = 0;
  const RequestTable::Queue& queue = requests_.queue();
  for (auto next = queue.begin(); next != queue.end() && unplaced < kMaxUnplacedRequests;) {
    const RequestId id = next->second;
    ++next;
    if (!try_send(id)) ++unplaced;
  }
}

bool LoadBalancer::try_send(RequestId id) {
  Request& request = requests_.at(id);
  QuotaSlice& slice = quota_.slices().at(request.customer);
  quota_.slices().refill(slice, now_);
  if (const auto wait = quota_.slices().ceiling_wait(request, slice)) {
    reject_or_fail(id, *wait, UnservedReason::over_ceiling);
    return true;
  }
  // While the request was queued, the deduplication window of an earlier attempt may have ended.
  const bool may_send = retry_policy_.allowed_actions(request, now_).send;
  if (!may_send || now_ + timing_.expected_latency(request) > request.deadline) {
    reject_or_fail(id, settings_.capabilities.max_retry_after,
                   may_send ? UnservedReason::no_time_left : UnservedReason::retry_not_allowed);
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
  return kMinQueueLimit + static_cast<std::size_t>(workers_.in_flight());
}

void LoadBalancer::shed_last_queued() {
  reject_or_fail(requests_.queue().rbegin()->second, settings_.capabilities.max_retry_after,
                 UnservedReason::queue_full);
}

// ---- Responses and final answers

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
  if (workers_.attempt_ended(result.worker)) queue_check_needed_ = true;
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
    remove_request(result.request);
  } else {
    pending_admissions_.push_back(result.request);
  }
  apply_rules();
}

void LoadBalancer::on_client_disconnect(Duration now, RequestId id) {
  begin_event(now);
  if (requests_.find(id) != nullptr) remove_request(id);
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

void LoadBalancer::answer_overdue_request() {
  reject_or_fail(requests_.earliest_due_request(), settings_.capabilities.max_retry_after,
                 UnservedReason::deadline_passed);
}

void LoadBalancer::reject_or_fail(RequestId id, Duration retry_after, UnservedReason reason) {
  const Request& request = requests_.at(id);
  effects_.report_unserved(id, reason, request.attempts.size());
  const AllowedActions allowed = retry_policy_.allowed_actions(request, now_);
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.in_flight) continue;
    // The gateway stops waiting for the worker's response, so the attempt counts as timed out.
    if (Worker* worker = workers_.find(attempt.worker)) {
      observer_.record(*worker, request, Outcome::timed_out, now_ - attempt.sent_at, now_);
    }
  }
  const Capabilities& capabilities = settings_.capabilities;
  const Duration max_retry_after = capabilities.retry_after ? capabilities.max_retry_after : Duration(0);
  if (allowed.reject) {
    effects_.reject(id, std::clamp(retry_after, Duration(0), max_retry_after));
  } else {
    effects_.fail(id);
  }
  quota_.slices().refund(request);
  remove_request(id);
}

void LoadBalancer::remove_request(RequestId id) {
  const Request& request = requests_.at(id);
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (!request.attempts[i].in_flight) continue;
    if (settings_.capabilities.cancel) effects_.cancel_attempt(id, i);
    quota_.slices().attempt_ended(request);
  }
  quota_.slices().request_ended(request.customer);
  requests_.erase(id);
}

bool LoadBalancer::may_send_attempt(Duration now, RequestId id, std::size_t attempt) const {
  const Request* request = requests_.find(id);
  if (request == nullptr || attempt >= request->attempts.size()) return false;
  const Attempt& delayed = request->attempts[attempt];
  const Worker* worker = workers_.find(delayed.worker);
  if (worker == nullptr || worker->status != WorkerStatus::ready) return false;
  if (!slow_start_.may_still_send(*worker, delayed.sent_at, now)) return false;
  return retry_policy_.may_still_send(*request, attempt, now);
}

}  // namespace ironquay
