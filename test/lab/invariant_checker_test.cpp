// Tests of the invariant checker with policies that violate one invariant each.
#include "lab/emulator/invariant_checker.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/emulator/emulation.hpp"
#include "lab/emulator/policy_under_test.hpp"
#include "support.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

// A policy that violates an invariant. The test sets what the policy does on a new request and after a failed
// attempt.
struct FaultyPolicy : PolicyUnderTest {
  explicit FaultyPolicy(Effects& gateway_effects) : effects(gateway_effects) {}
  void on_endpoint_list_begin(Duration, EndpointListKind) override {}
  void on_endpoint(Duration, const EndpointUpdate& update) override {
    if (update.started_at > 0s) started_worker = update.worker;
  }
  void on_endpoint_list_end(Duration) override {}
  void on_request(Duration, const IncomingRequest& request) override { handle_request(request.id); }
  void on_attempt_end(Duration, const AttemptResult& result) override {
    if (!result.request_finished) handle_failed_attempt(result.request);
  }
  void on_client_disconnect(Duration, RequestId) override {}
  void on_timer(Duration) override {}
  void on_gossip(Duration, int, const std::string&) override {}
  void on_counter_reply(Duration, const CounterReply&) override {}

  void send(RequestId request, WorkerId worker) { effects.send_attempt(request, worker, 1s); }

  std::function<void(RequestId)> handle_request = [](RequestId) {};
  std::function<void(RequestId)> handle_failed_attempt = [this](RequestId request) { effects.fail(request); };
  Effects& effects;
  WorkerId started_worker = 0;  // the last worker that started during the run; 0 if none started
};

// Emulates the scenario with the policy that `set_up` configures, and returns the rule that the policy
// violates first; empty if it violates none.
std::string violated_rule(const Scenario& scenario, const std::function<void(FaultyPolicy&)>& set_up) {
  const PolicyFactory make_policy = [&](PolicySettings, std::uint32_t, Duration, Effects& effects) {
    auto policy = std::make_unique<FaultyPolicy>(effects);
    set_up(*policy);
    return policy;
  };
  const auto violation = emulate(scenario, 1, make_policy)["broken"];
  return violation.is_null() ? "" : violation["rule"].get<std::string>();
}

// Configures a policy that sends every request to the first worker, and calls `reaction` when that attempt
// has failed.
std::function<void(FaultyPolicy&)> after_failed_attempt(
    const std::function<void(FaultyPolicy&, RequestId)>& reaction) {
  return [reaction](FaultyPolicy& policy) {
    policy.handle_request = [&policy](RequestId request) { policy.send(request, 1); };
    policy.handle_failed_attempt = [&policy, reaction](RequestId request) { reaction(policy, request); };
  };
}

// Configures a policy that calls `reaction` for every new request.
std::function<void(FaultyPolicy&)> on_request(const std::function<void(FaultyPolicy&, RequestId)>& reaction) {
  return [reaction](FaultyPolicy& policy) {
    policy.handle_request = [&policy, reaction](RequestId request) { reaction(policy, request); };
  };
}

TEST_CASE("the checker reports the rule that a faulty policy violates") {
  const Scenario plain = make_scenario("");
  const Scenario failing_workers = make_scenario(
      "[[fault]]\nkind = \"worker-error\"\nlength_ms = 9000\npart = 1\n", "repeat = \"non-idempotent\"\n");
  const Scenario single_worker_cells = make_scenario(
      "[workers]\ncell_size = 1\n[[fault]]\nkind = \"worker-error\"\npart = 1\n", "repeat = \"tokened\"\n");
  const Scenario replacement =
      make_scenario("[[fault]]\nkind = \"replace\"\nat_ms = 500\nlength_ms = 100\nworkers = [0]\n");
  Scenario overloaded_replacement = replacement;
  overloaded_replacement.plans[0].normal_quota_use = 20;
  const Scenario ceiling = make_scenario("", "", "use = 4\nceiling = 10\n");

  const auto retry_on_second_worker =
      after_failed_attempt([](FaultyPolicy& policy, RequestId request) { policy.send(request, 2); });

  CHECK(violated_rule(plain, [](FaultyPolicy&) {}) == "one final answer: none came");
  CHECK(violated_rule(plain, on_request([](FaultyPolicy& policy, RequestId request) {
                        policy.effects.fail(request);
                        policy.effects.fail(request);
                      })) == "one final answer: a second one");
  CHECK(violated_rule(plain, on_request([](FaultyPolicy& policy, RequestId request) {
                        policy.effects.fail(request);
                        policy.send(request, 1);
                      })) == "one final answer: sent after it");
  CHECK(violated_rule(plain, on_request([](FaultyPolicy& policy, RequestId request) {
                        policy.send(request, 1);
                        policy.send(request, 2);
                      })) == "no effect twice: two tries out");
  CHECK(violated_rule(failing_workers, retry_on_second_worker) ==
        "no effect twice: sent again though it may have run");
  CHECK(violated_rule(failing_workers, after_failed_attempt([](FaultyPolicy& policy, RequestId request) {
                        policy.effects.reject(request, 0s);
                      })) == "no effect twice: rate-limited though it may have run");
  CHECK(violated_rule(single_worker_cells, retry_on_second_worker) ==
        "no effect twice: sent where its repeat is not known");
  CHECK(violated_rule(replacement, on_request([](FaultyPolicy& policy, RequestId request) {
                        policy.send(request, 1);
                      })) == "drains kept: sent to a worker that drains or is gone");
  CHECK(violated_rule(overloaded_replacement, on_request([](FaultyPolicy& policy, RequestId request) {
                        policy.send(request, policy.started_worker ? policy.started_worker : 2);
                      })) == "cold workers not pushed over: one fell");
  CHECK(violated_rule(ceiling, on_request([](FaultyPolicy& policy, RequestId request) {
                        policy.send(request, static_cast<WorkerId>(1 + request % 10));
                      })) == "ceilings kept: passed");
}

}  // namespace
}  // namespace ironquay::lab
