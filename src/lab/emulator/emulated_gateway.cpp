#include "lab/emulator/emulated_gateway.hpp"

#include <algorithm>
#include <utility>

namespace ironquay::lab {
namespace {

// Seeds of policies are drawn from 0 to kSeedRange - 1.
constexpr std::size_t kSeedRange = std::size_t(1) << 31;

// The emulator numbers workers from 0, the policy from 1.
WorkerId to_worker_id(int worker) { return static_cast<WorkerId>(worker + 1); }
int to_worker_index(WorkerId id) { return static_cast<int>(id) - 1; }

}  // namespace

EmulatedGateway::EmulatedGateway(const Environment& environment, int index)
    : environment_(environment), index_(index) {
  const double rate_limit = environment.scenario.policy_settings.capabilities.gossip_rate_limit;
  gossip_rate_limiter_ = TokenBucket(rate_limit, rate_limit, 0, Duration(0));
}

void EmulatedGateway::start() {
  PolicySettings settings = environment_.scenario.policy_settings;
  settings.gateway_index = index_;
  ++incarnation_;
  timer_ = Duration(0);
  const auto seed = static_cast<std::uint32_t>(environment_.policy_seed_random.below(kSeedRange));
  policy_ = environment_.make_policy(std::move(settings), seed, now(), *this);
  if (endpoints_.empty())
    for (int worker = 0; worker < environment_.scenario.workers.count; ++worker) endpoints_[worker] = {};
  policy_->on_endpoint_list_begin(now(), EndpointListKind::cached);
  for (const auto& [worker, endpoint] : endpoints_) notify_policy_of_endpoint(worker, endpoint);
  policy_->on_endpoint_list_end(now());
}

void EmulatedGateway::crash() {
  ++incarnation_;
  policy_.reset();
  environment_.invariants.on_gateway_crash(index_);
  for (const auto& [id, attempts] : attempts_)
    for (const Attempt& attempt : attempts) attempt.job->cancelled = true;
  attempts_.clear();
  for (const auto& [id, request] : std::exchange(requests_, {})) {
    environment_.invariants.on_request_dropped(id);
    environment_.events.schedule_in(environment_.scenario.network.one_way_latency,
                                    [on_response = request.on_response] {
                                      on_response({ResponseKind::disconnected, Duration(0)});
                                    });
  }
}

void EmulatedGateway::receive_request(ClientRequest client_request) {
  const ClientRequest& request = requests_[client_request.id] = std::move(client_request);
  ReceivedRequest received;
  received.id = request.id;
  received.route = request.route;
  received.plan = request.plan;
  received.customer = request.customer;
  received.units = request.units;
  received.client_timeout = request.remaining_time;
  environment_.invariants.on_request_received(now(), received);
  IncomingRequest incoming;
  incoming.id = request.id;
  incoming.customer = request.customer_name;
  incoming.route = request.route;
  incoming.plan = request.plan;
  incoming.units = request.units;
  incoming.first_gateway = request.first_gateway;
  incoming.gateway_spread = request.gateway_spread;
  incoming.time_left = request.remaining_time;
  incoming.is_retry = request.is_retry;
  policy_->on_request(now(), incoming);
}

bool EmulatedGateway::disconnect_client(RequestId id) {
  if (!policy_ || !requests_.erase(id)) return false;
  environment_.invariants.on_request_dropped(id);
  policy_->on_client_disconnect(now(), id);
  return true;
}

void EmulatedGateway::receive_endpoint(int worker, WorkerStatus status, Duration started_at) {
  const StoredEndpoint endpoint{status, started_at};
  if (status == WorkerStatus::gone) {
    endpoints_.erase(worker);
  } else {
    endpoints_[worker] = endpoint;
  }
  if (!policy_) return;
  policy_->on_endpoint_list_begin(now(), EndpointListKind::delta);
  notify_policy_of_endpoint(worker, endpoint);
  policy_->on_endpoint_list_end(now());
}

void EmulatedGateway::notify_policy_of_endpoint(int worker, const StoredEndpoint& endpoint) {
  environment_.invariants.on_endpoint_update(now(), index_, worker, endpoint.status);
  EndpointUpdate update;
  update.worker = to_worker_id(worker);
  update.status = endpoint.status;
  update.cell = environment_.workers.cell_of(worker);
  update.started_at = endpoint.started_at;
  policy_->on_endpoint(now(), update);
}

void EmulatedGateway::receive_gossip(int sender, const std::string& message) {
  gossip_rate_limiter_.refill(now());
  if (!policy_ || !gossip_rate_limiter_.try_take(1)) return;
  policy_->on_gossip(now(), sender, message);
}

void EmulatedGateway::send_attempt(RequestId id, WorkerId worker_id, Duration timeout) {
  const int worker = to_worker_index(worker_id);
  const auto request = requests_.find(id);
  const bool request_found = request != requests_.end();
  std::vector<Attempt>& attempts = attempts_[id];
  const std::size_t attempt_index = attempts.size();
  environment_.invariants.on_attempt_sent(now(), id, index_, worker, environment_.workers.cell_of(worker));
  environment_.statistics.on_attempt();
  if (request_found && attempts.empty()) request->second.on_forwarded();
  // A faulty policy may send an attempt for a request that has already ended. The invariant checker has
  // already reported that attempt in on_attempt_sent(), so its route and size do not matter.
  const std::size_t route = request_found ? request->second.route : 0;
  const double size = request_found ? request->second.units / environment_.scenario.mean_units() : 1;
  const auto on_result = in_current_incarnation(
      [this, id, attempt_index](Outcome outcome) { end_attempt(id, attempt_index, outcome); });
  attempts.push_back({worker_id, now(), true, environment_.workers.send(worker, route, size, on_result)});
  environment_.events.schedule_in(timeout, in_current_incarnation([this, id, attempt_index] {
                                    end_attempt(id, attempt_index, Outcome::timed_out);
                                  }));
}

bool EmulatedGateway::any_in_flight(const std::vector<Attempt>& attempts) {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.in_flight; });
}

void EmulatedGateway::end_attempt(RequestId id, std::size_t attempt_index, Outcome outcome) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || !found->second[attempt_index].in_flight) return;
  Attempt& attempt = found->second[attempt_index];
  attempt.in_flight = false;
  if (outcome == Outcome::timed_out) attempt.job->cancelled = true;
  environment_.invariants.on_attempt_end(id, attempt_index, may_have_executed(outcome));
  if (outcome == Outcome::success) respond(id, {ResponseKind::served, Duration(0)});
  AttemptResult result;
  result.request = id;
  result.attempt = attempt_index;
  result.worker = attempt.worker;
  result.outcome = outcome;
  result.elapsed = now() - attempt.sent_at;
  result.request_finished = !requests_.contains(id);
  if (result.request_finished && !any_in_flight(found->second)) attempts_.erase(found);
  policy_->on_attempt_end(now(), result);
}

void EmulatedGateway::cancel_attempt(RequestId id, std::size_t attempt_index) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || attempt_index >= found->second.size()) return;
  Attempt& attempt = found->second[attempt_index];
  if (!attempt.in_flight) return;
  attempt.job->cancelled = true;
  environment_.invariants.on_attempt_end(id, attempt_index, true);
  // The policy is notified in a separate event, after the call in which it cancelled the attempt has
  // returned.
  environment_.events.schedule_in(Duration(0), in_current_incarnation([this, id, attempt_index] {
                                    end_attempt(id, attempt_index, Outcome::cancelled);
                                  }));
}

void EmulatedGateway::respond(RequestId id, const GatewayResponse& response) {
  environment_.invariants.on_response(now(), id, response.kind == ResponseKind::rejected);
  const auto request = requests_.find(id);
  if (request == requests_.end()) return;
  environment_.events.schedule_in(
      environment_.scenario.network.one_way_latency,
      [on_response = std::move(request->second.on_response), response] { on_response(response); });
  requests_.erase(request);
  // end_attempt() calls respond() for a served request and uses the attempts afterwards, so it erases them
  // itself.
  if (response.kind == ResponseKind::served) return;
  const auto attempts = attempts_.find(id);
  if (attempts != attempts_.end() && !any_in_flight(attempts->second)) attempts_.erase(attempts);
}

void EmulatedGateway::set_timer(Duration when) {
  timer_ = when;
  environment_.events.schedule_at(when, in_current_incarnation([this, when] {
                                    if (timer_ == when) policy_->on_timer(now());
                                  }));
}

void EmulatedGateway::send_gossip(int peer, std::string_view message) {
  environment_.gossip.send(index_, peer, message);
}

void EmulatedGateway::broadcast_gossip(std::string_view message) {
  environment_.gossip.broadcast(index_, message);
}

void EmulatedGateway::add_to_counter(std::string_view name, double amount, Duration lifetime) {
  environment_.counter.add(
      index_, name, amount, lifetime,
      in_current_incarnation([this, name = std::string(name)](Outcome outcome, double total) {
        policy_->on_counter_reply(now(), {name, outcome, total});
      }));
}

}  // namespace ironquay::lab
