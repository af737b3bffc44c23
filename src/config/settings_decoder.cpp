#include "config/settings_decoder.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace ironquay {
namespace {

using Json = nlohmann::json;

SettingsError missing_key(const char* key) {
  return SettingsError(std::string("settings: ") + key + " is missing");
}

// Returns the value of a required key. Throws SettingsError if it is missing or has another type.
template <typename T>
T required(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) throw missing_key(key);
  try {
    return found->get<T>();
  } catch (const Json::exception&) {
    throw SettingsError(std::string("settings: ") + key + " has the wrong type");
  }
}

// Returns the object or array under a required key.
const Json& required_section(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) throw missing_key(key);
  if (!found->is_structured())
    throw SettingsError(std::string("settings: ") + key + " must be an object or an array");
  return *found;
}

// Returns the duration under a required key, which is in milliseconds with an optional fraction.
Duration required_duration(const Json& object, const char* key) {
  return Duration(std::llround(required<double>(object, key) * 1000.0));
}

Idempotency decode_idempotency(const std::string& name) {
  if (name == "read_like") return Idempotency::idempotent;
  if (name == "idempotency_key") return Idempotency::keyed;
  if (name == "non_idempotent") return Idempotency::non_idempotent;
  throw SettingsError("settings: unknown effect '" + name + "'");
}

DedupScope decode_dedup_scope(const std::string& name) {
  if (name == "all") return DedupScope::all;
  if (name == "zone") return DedupScope::zone;
  if (name == "cell") return DedupScope::cell;
  throw SettingsError("settings: unknown key_scope '" + name + "'");
}

Route decode_route(const Json& object) {
  Route route;
  route.idempotency = decode_idempotency(required<std::string>(object, "effect"));
  route.latency_objective = required_duration(object, "on_time");
  route.client_timeout = required_duration(object, "give_up");
  route.priority_weight = required<double>(object, "gain");
  route.late_value_share = required<double>(object, "late_share");
  if (route.idempotency == Idempotency::keyed) {
    route.dedup_scope = decode_dedup_scope(required<std::string>(object, "key_scope"));
    route.dedup_window = required_duration(object, "key_ttl");
  }
  return route;
}

QuotaPlan decode_plan(const Json& object) {
  QuotaPlan plan;
  plan.rate = required<double>(object, "refill");
  plan.burst = required<double>(object, "store_size");
  plan.max_concurrent = required<int>(object, "at_once");
  plan.ceiling_rate = required<double>(object, "never_over_rate");
  plan.ceiling_burst = required<double>(object, "hard_burst");
  plan.overage_value_share = required<double>(object, "beyond_earns");
  plan.overage_cost_share = required<double>(object, "overrun_cost");
  return plan;
}

void decode_routes(const Json& settings, DecodedSettings& decoded) {
  std::vector<Route>& routes = decoded.policy_settings.routes;
  for (const Json& object : required_section(settings, "classes")) {
    decoded.route_index.emplace(required<std::string>(object, "name"), routes.size());
    routes.push_back(decode_route(object));
  }
}

void decode_plans(const Json& settings, DecodedSettings& decoded) {
  std::vector<QuotaPlan>& plans = decoded.policy_settings.plans;
  for (const Json& object : required_section(settings, "plans")) {
    decoded.plan_index.emplace(required<std::string>(object, "name"), plans.size());
    plans.push_back(decode_plan(object));
  }
}

ContractSettings decode_contract(const Json& object) {
  ContractSettings contract;
  contract.initial_capacity_share = required<double>(object, "cold_share");
  contract.slow_start_window = required_duration(object, "warm_after");
  contract.overload_window = required_duration(object, "fall");
  contract.poll_deadline = required_duration(object, "ask_within");
  return contract;
}

Capabilities decode_capabilities(const Json& settings, const Json& bounds, const Json& family_info) {
  Capabilities capabilities;
  capabilities.cancel = required<bool>(bounds, "cancelling");
  capabilities.hedging = required<bool>(bounds, "may_duplicate");
  capabilities.retry_after = required<bool>(bounds, "retry_after");
  capabilities.max_attempts = required<int>(bounds, "try_limit");
  capabilities.max_retry_after = required_duration(bounds, "max_retry_after");
  capabilities.polls_endpoints = required<std::string>(settings, "registry_mode") == "on_request";
  capabilities.counter = required<bool>(family_info, "counter");
  if (capabilities.counter) capabilities.counter_timeout = required_duration(family_info, "count_limit");
  if (required<bool>(bounds, "may_tell"))
    capabilities.gossip_rate_limit = required<double>(family_info, "peer_intake");
  return capabilities;
}

ConnectionSettings decode_connection(const Json& bounds, const Json& family_info) {
  ConnectionSettings connection;
  connection.idle_timeout = required_duration(bounds, "idle_close");
  connection.connect_timeout = required_duration(bounds, "connect_timeout");
  connection.max_open_requests = required<std::size_t>(bounds, "open_cap");
  connection.max_units = required<double>(family_info, "max_units");
  return connection;
}

}  // namespace

DecodedSettings decode_settings(const Json& settings) {
  if (!settings.is_object()) throw SettingsError("settings: must be a JSON object");
  DecodedSettings decoded;
  decode_routes(settings, decoded);
  decode_plans(settings, decoded);

  PolicySettings& policy = decoded.policy_settings;
  policy.contract = decode_contract(required_section(settings, "contract"));
  const Json& bounds = required_section(settings, "bounds");
  const Json& family_info = required_section(settings, "family_info");
  policy.capabilities = decode_capabilities(settings, bounds, family_info);
  decoded.connection = decode_connection(bounds, family_info);
  policy.max_units = decoded.connection.max_units;
  policy.reports_actual_units = required<bool>(family_info, "settles");
  policy.cross_zone_cost = required<double>(required_section(settings, "tariffs"), "cross_zone");
  policy.gateway_index = required<int>(settings, "me");
  policy.gateway_count = required<int>(settings, "siblings");
  policy.zone = required<std::string>(settings, "locality");
  policy.tick = required_duration(settings, "round");

  const Json& report = required_section(settings, "report");
  decoded.report_fields = required_section(report, "fields").size();
  return decoded;
}

}  // namespace ironquay
