#include "decode_terms.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ironquay {
namespace {

using Json = nlohmann::json;

template <typename T>
T need(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) throw std::runtime_error(std::string("settings lack ") + key);
  try {
    return found->get<T>();
  } catch (const Json::exception&) {
    throw std::runtime_error(std::string("settings hold an unreadable ") + key);
  }
}

const Json& part(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_structured())
    throw std::runtime_error(std::string("settings lack ") + key);
  return *found;
}

Span span(const Json& object, const char* key) {
  return Span(std::llround(need<double>(object, key) * 1000.0));
}

Repeat repeat_of(const std::string& word) {
  if (word == "read_like") return Repeat::idempotent;
  if (word == "idempotency_key") return Repeat::tokened;
  if (word == "non_idempotent") return Repeat::non_idempotent;
  throw std::runtime_error("settings hold an unknown effect " + word);
}

Scope scope_of(const std::string& word) {
  if (word == "all") return Scope::all;
  if (word == "zone") return Scope::zone;
  if (word == "cell") return Scope::cell;
  throw std::runtime_error("settings hold an unknown key_scope " + word);
}

Route route_of(const Json& from) {
  Route route;
  route.repeat = repeat_of(need<std::string>(from, "effect"));
  route.latency_target = span(from, "on_time");
  route.client_timeout = span(from, "give_up");
  route.billed_value = need<double>(from, "gain");
  route.late_share = need<double>(from, "late_share");
  if (route.repeat == Repeat::tokened) {
    route.scope = scope_of(need<std::string>(from, "key_scope"));
    route.recall = span(from, "key_ttl");
  }
  return route;
}

Plan plan_of(const Json& from) {
  Plan plan;
  plan.rate = need<double>(from, "refill");
  plan.burst = need<double>(from, "store_size");
  plan.at_once = need<int>(from, "at_once");
  plan.ceiling_rate = need<double>(from, "never_over_rate");
  plan.ceiling_burst = need<double>(from, "hard_burst");
  plan.beyond_earns = need<double>(from, "beyond_earns");
  plan.beyond_costs = need<double>(from, "overrun_cost");
  return plan;
}

}  // namespace

Born decode_terms(const Json& from) {
  if (!from.is_object()) throw std::runtime_error("settings are no JSON object");
  Born born;
  Terms& terms = born.terms;
  for (const Json& one : part(from, "classes")) {
    born.routes.emplace(need<std::string>(one, "name"), terms.routes.size());
    terms.routes.push_back(route_of(one));
  }
  for (const Json& one : part(from, "plans")) {
    born.plans.emplace(need<std::string>(one, "name"), terms.plans.size());
    terms.plans.push_back(plan_of(one));
  }
  const Json& contract = part(from, "contract");
  terms.promises.cold_share = need<double>(contract, "cold_share");
  terms.promises.warm_after = span(contract, "warm_after");
  terms.promises.fall = span(contract, "fall");
  terms.promises.ask_within = span(contract, "ask_within");
  const Json& bounds = part(from, "bounds");
  terms.permits.cancel = need<bool>(bounds, "cancelling");
  terms.permits.second_copy = need<bool>(bounds, "may_duplicate");
  terms.permits.advice = need<bool>(bounds, "retry_after");
  terms.permits.tries = need<int>(bounds, "try_limit");
  terms.permits.longest_advice = span(bounds, "max_retry_after");
  terms.permits.list_on_request = need<std::string>(from, "registry_mode") == "on_request";
  born.links.idle_close = span(bounds, "idle_close");
  born.links.connect_timeout = span(bounds, "connect_timeout");
  born.links.open_cap = need<std::size_t>(bounds, "open_cap");
  const Json& family = part(from, "family_info");
  terms.permits.counter = need<bool>(family, "counter");
  if (terms.permits.counter) terms.permits.counter_limit = span(family, "count_limit");
  if (need<bool>(bounds, "may_tell")) terms.permits.peer_intake = need<double>(family, "peer_intake");
  terms.most_units = born.links.most_units = need<double>(family, "max_units");
  terms.units_settle = need<bool>(family, "settles");
  terms.cross_zone_price = need<double>(part(from, "tariffs"), "cross_zone");
  terms.me = need<int>(from, "me");
  terms.gatekeepers = need<int>(from, "siblings");
  terms.zone = need<std::string>(from, "locality");
  terms.tick = span(from, "round");
  born.report_fields = part(part(from, "report"), "fields").size();
  return born;
}

}  // namespace ironquay
