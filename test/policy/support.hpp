// Fixture for the tests of the policy modules: a LoadBalancer whose modules the tests can modify and inspect
// without going through its event functions.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "policy/load_balancer.hpp"

namespace ironquay {

using namespace std::chrono_literals;

// Records the effects that a LoadBalancer requests.
struct RecordingEffects : Effects {
  std::vector<std::string> actions;                 // such as "send 1 to 7" for request 1 and worker 7
  std::vector<double> counter_amounts;              // units added by each call to the counter
  std::string counter_name;                         // the name in the last call to the counter
  std::vector<std::pair<int, std::string>> gossip;  // each message sent, with its peer

  void send_attempt(RequestId request, WorkerId worker, Duration) override {
    record("send", request);
    actions.back().append(" to ").append(std::to_string(worker));
  }
  void cancel_attempt(RequestId request, std::size_t) override { record("cancel", request); }
  void reject(RequestId request, Duration) override { record("reject", request); }
  void fail(RequestId request) override { record("fail", request); }
  void set_timer(Duration) override {}
  void check_health(WorkerId) override {}
  void close_idle_connections(WorkerId) override {}
  void send_gossip(int peer, std::string_view bytes) override { gossip.emplace_back(peer, bytes); }
  void broadcast_gossip(std::string_view) override {}
  void subscribe_endpoints(bool) override { actions.emplace_back("subscribe"); }
  void poll_endpoints() override {}
  void add_to_counter(std::string_view name, double amount, Duration) override {
    counter_name = std::string(name);
    counter_amounts.push_back(amount);
  }
  void log_note(std::string_view) override {}

 private:
  void record(const char* action, RequestId request) {
    actions.emplace_back(action).append(" ").append(std::to_string(request));
  }
};

// Gives the tests access to the private parts of a QuotaPool.
class QuotaPoolTestAccess {
 public:
  explicit QuotaPoolTestAccess(QuotaPool& pool) : pool_(pool) {}
  void set_mean_request_units(double units) { pool_.mean_request_units_ = units; }
  // Delivers the counter's reply, a count of `total`, to a take of `units` by request 1. `shortfall`: units
  // that the request needs in addition to the slice's tokens.
  void reply_to_take(const std::string& customer, double units, double total, double shortfall,
                     Duration sent_at) {
    const CounterCall call{CounterPurpose::take_for_request, customer, units, 1, units, sent_at, sent_at};
    pool_.on_take_reply(call, customer + ":0", total, shortfall, sent_at);
  }
  // Adds a contribution of no units that awaits the counter's reply.
  void add_pending_contribution(const std::string& name, const std::string& customer, Duration sent_at) {
    pool_.pending_calls_[name].push_back(
        {CounterPurpose::contribute_surplus, customer, 0, 0, 0, sent_at, sent_at});
    ++pool_.pending_call_count_;
  }

 private:
  QuotaPool& pool_;
};

// Gives the tests access to the private parts of a QuotaAllocator.
class QuotaAllocatorTestAccess {
 public:
  explicit QuotaAllocatorTestAccess(QuotaAllocator& quota) : quota_(quota) {}
  CounterHealth& counter_health() { return quota_.counter_health_; }
  bool has_rebalances() const { return quota_.next_rebalance() != Duration::max(); }

 private:
  QuotaAllocator& quota_;
};

// Gives the tests access to the modules of a LoadBalancer.
class LoadBalancerTestAccess {
 public:
  explicit LoadBalancerTestAccess(LoadBalancer& balancer) : balancer_(balancer) {}
  RequestTable& requests() { return balancer_.requests_; }
  WorkerRegistry& workers() { return balancer_.workers_; }
  WorkerSubset& subset() { return balancer_.subset_; }
  WorkerSelector& selector() { return balancer_.selector_; }
  AttemptObserver& observer() { return balancer_.observer_; }
  OverloadController& overload() { return balancer_.overload_; }
  RouteStatistics& route_statistics(std::size_t index) { return balancer_.route_statistics_[index]; }
  QuotaAllocator& quota() { return balancer_.quota_; }
  void set_timer(Duration when) { balancer_.timer_ = when; }

 private:
  LoadBalancer& balancer_;
};

// Settings for gateway 0 of three. Route 0 is idempotent, route 1 keyed within a cell, route 2
// non-idempotent. Plan 0 has no ceiling, plan 1 has one.
inline PolicySettings default_settings() {
  PolicySettings settings;
  settings.routes.resize(3);
  for (Route& route : settings.routes) {
    route.latency_objective = 1s;
    route.client_timeout = 3s;
    route.priority_weight = 1;
  }
  settings.routes[1].idempotency = Idempotency::keyed;
  settings.routes[1].dedup_scope = DedupScope::cell;
  settings.routes[1].dedup_window = 4s;
  settings.routes[2].idempotency = Idempotency::non_idempotent;
  QuotaPlan plan;
  plan.rate = 30;
  plan.burst = 60;
  settings.plans = {plan, plan};
  settings.plans[1].ceiling_rate = 60;
  settings.plans[1].ceiling_burst = 90;
  settings.contract = {0.2, 10s, 1s, 10s};
  settings.capabilities.cancel = true;
  settings.capabilities.counter = true;
  settings.capabilities.max_attempts = 6;
  settings.capabilities.counter_timeout = 50ms;
  settings.capabilities.gossip_rate_limit = 40;
  settings.gateway_count = 3;
  settings.max_units = 4;
  settings.tick = 2ms;
  return settings;
}

inline const std::string kCustomer = "c";

class Fixture {
 public:
  explicit Fixture(PolicySettings settings = default_settings())
      : balancer(std::move(settings), 1, 0s, effects),
        modules(balancer),
        quota_access(modules.quota()),
        pool_access(modules.quota().pool()) {}

  RecordingEffects effects;
  LoadBalancer balancer;
  LoadBalancerTestAccess modules;
  QuotaAllocatorTestAccess quota_access;
  QuotaPoolTestAccess pool_access;

  // Adds a worker through an endpoint list and sets its concurrency limit to 4.
  Worker& add_worker(WorkerId id, WorkerStatus status = WorkerStatus::ready, Duration started_at = 0s) {
    WorkerRegistry& workers = modules.workers();
    workers.begin_list(EndpointListKind::delta);
    workers.update({id, status, "", 0, 1, started_at}, 0s);
    workers.end_list(0s);
    Worker& worker = workers.at(id);
    workers.set_concurrency_limit(worker, 4);
    return worker;
  }

  // Adds an open request of one unit from the customer, with its deadline at 900 ms.
  Request& add_request(RequestId id, std::size_t route) {
    Request& request = modules.requests().insert(id);
    request.route = route;
    request.customer = kCustomer;
    request.units = 1;
    modules.requests().set_deadline(id, 900ms);
    slice(3);
    return request;
  }

  // Returns the customer's slice on plan 0, and creates it if there is none.
  QuotaSlice& slice(int gateway_spread, Duration now = 0s) {
    return modules.quota().find_or_create_slice(kCustomer, 0, gateway_spread, now);
  }

  // Delivers a request from the customer for route 0 on plan 0.
  void arrive(RequestId id, double units, int gateway_spread, bool is_retry = false, Duration now = 0s) {
    balancer.on_request(now, {id, kCustomer, 0, 0, units, 0, gateway_spread, 3s, is_retry});
  }

  const std::string& last_action() const { return effects.actions.back(); }
};

// An attempt at worker 7 in cell 3, sent at 100 ms.
inline Attempt make_attempt(bool in_flight, bool may_have_executed) {
  return {7, {}, 3, 100ms, in_flight, may_have_executed};
}

}  // namespace ironquay
