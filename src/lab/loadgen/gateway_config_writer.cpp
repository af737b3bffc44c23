#include "lab/loadgen/gateway_config_writer.hpp"

#include <nlohmann/json.hpp>

namespace ironquay::lab {
namespace {

using Json = nlohmann::ordered_json;

// ---- Settings that scenarios do not describe

constexpr int kPollDeadlineMs = 10'000;
constexpr int kIdleTimeoutMs = 30'000;
constexpr int kMaxRequestsInFlight = 10'000;
constexpr double kCores = 1.0;
constexpr int kMemoryMb = 192;
constexpr int kMaxSockets = 1024;

double to_milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// The value of the key `effect` in the settings object.
const char* effect_value(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::idempotent:
      return "read_like";
    case Idempotency::keyed:
      return "idempotency_key";
    case Idempotency::non_idempotent:
      return "non_idempotent";
  }
  return "";
}

Json route_json(const std::string& name, const Route& route) {
  return {{"name", name},
          {"effect", effect_value(route.idempotency)},
          {"on_time", to_milliseconds(route.latency_objective)},
          {"give_up", to_milliseconds(route.client_timeout)},
          {"gain", route.priority_weight},
          {"late_share", route.late_value_share},
          {"key_scope", "cell"},
          {"key_ttl", to_milliseconds(route.dedup_window)}};
}

Json plan_json(const std::string& name, const QuotaPlan& plan) {
  return {{"name", name},
          {"refill", plan.rate},
          {"store_size", plan.burst},
          {"at_once", plan.max_concurrent},
          {"never_over_rate", plan.ceiling_rate},
          {"hard_burst", plan.ceiling_burst},
          {"beyond_earns", plan.overage_value_share},
          {"overrun_cost", plan.overage_cost_share}};
}

Json routes_json(const Scenario& scenario) {
  Json routes = Json::array();
  for (std::size_t i = 0; i < scenario.routes.size(); ++i)
    routes.push_back(route_json(scenario.routes[i].name, scenario.policy_settings.routes[i]));
  return routes;
}

Json plans_json(const Scenario& scenario) {
  Json plans = Json::array();
  for (std::size_t i = 0; i < scenario.plans.size(); ++i)
    plans.push_back(plan_json(scenario.plans[i].name, scenario.policy_settings.plans[i]));
  return plans;
}

Json contract_json(const ContractSettings& contract) {
  return {{"cold_share", contract.initial_capacity_share},
          {"warm_after", to_milliseconds(contract.slow_start_window)},
          {"fall", to_milliseconds(contract.overload_window)},
          {"ask_within", kPollDeadlineMs}};
}

Json bounds_json(const Scenario& scenario) {
  const Capabilities& capabilities = scenario.policy_settings.capabilities;
  return {{"cancelling", capabilities.cancel},
          {"may_duplicate", capabilities.hedging},
          {"retry_after", capabilities.retry_after},
          {"try_limit", capabilities.max_attempts},
          {"max_retry_after", to_milliseconds(capabilities.max_retry_after)},
          {"idle_close", kIdleTimeoutMs},
          {"connect_timeout", to_milliseconds(scenario.workers.connect_timeout)},
          {"open_cap", kMaxRequestsInFlight},
          {"may_tell", false}};
}

Json family_json(const PolicySettings& settings) {
  return {{"counter", settings.capabilities.counter},
          {"count_limit", to_milliseconds(settings.capabilities.counter_timeout)},
          {"peer_intake", settings.capabilities.gossip_rate_limit},
          {"max_units", settings.max_units},
          {"settles", false}};
}

Json settings_json(const Scenario& scenario, int index, std::size_t gateway_count) {
  return {{"classes", routes_json(scenario)},
          {"plans", plans_json(scenario)},
          {"contract", contract_json(scenario.policy_settings.contract)},
          {"bounds", bounds_json(scenario)},
          {"registry_mode", "pushed"},
          {"family_info", family_json(scenario.policy_settings)},
          {"tariffs", {{"cross_zone", 0}}},
          {"report", {{"fields", Json::array()}, {"how", "off"}}},
          {"me", index},
          {"siblings", gateway_count},
          {"locality", "here"},
          {"round", to_milliseconds(scenario.policy_settings.tick)}};
}

}  // namespace

Json gateway_config(const Scenario& scenario, int index, const DeploymentAddresses& addresses) {
  return {{"name", std::string("n").append(std::to_string(index))},
          {"listen", addresses.gateways.at(static_cast<std::size_t>(index))},
          {"discovery", addresses.discovery},
          {"seed", "1"},
          {"limits", {{"cores", kCores}, {"memory_mb", kMemoryMb}, {"sockets", kMaxSockets}}},
          {"counter", addresses.counter},
          {"known", {{"seq", 0}, {"whole", true}, {"hosts", Json::array()}}},
          {"settings", settings_json(scenario, index, addresses.gateways.size())}};
}

}  // namespace ironquay::lab
