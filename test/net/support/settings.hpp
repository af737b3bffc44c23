// The settings object of the gateways in the tests.
#pragma once
#include <nlohmann/json.hpp>

namespace ironquay::net {

using Json = nlohmann::json;

/// The settings of a route. `effect` is "read_like", "idempotency_key" or "non_idempotent".
inline Json route_settings(const char* name, const char* effect) {
  return {{"name", name}, {"effect", effect},  {"on_time", 1000},    {"give_up", 3000},
          {"gain", 1.0},  {"late_share", 0.0}, {"key_scope", "all"}, {"key_ttl", 4000}};
}

/// The settings of a quota plan that refills at `units_per_second` and stores at most the units of one
/// second.
inline Json plan_settings(const char* name, double units_per_second) {
  return {{"name", name},        {"refill", units_per_second}, {"store_size", units_per_second},
          {"at_once", 0},        {"never_over_rate", 0.0},     {"hard_burst", 0.0},
          {"beyond_earns", 0.0}, {"overrun_cost", 1.0}};
}

/// Settings with an idempotent, a keyed and a non-idempotent route (lookup, order and pay), a plan with a
/// large quota (team) and a plan whose quota a single request can use up (small). Client timeouts are 3 s.
inline Json default_settings() {
  return {
      {"classes",
       {route_settings("lookup", "read_like"), route_settings("order", "idempotency_key"),
        route_settings("pay", "non_idempotent")}},
      {"plans", {plan_settings("team", 1000.0), plan_settings("small", 8.0)}},
      {"contract", {{"cold_share", 0.25}, {"warm_after", 15000}, {"fall", 1000}, {"ask_within", 10000}}},
      {"bounds",
       {{"cancelling", true},
        {"may_duplicate", false},
        {"retry_after", true},
        {"try_limit", 6},
        {"max_retry_after", 500},
        {"idle_close", 30000},
        {"connect_timeout", 250},
        {"open_cap", 1000},
        {"may_tell", true}}},
      {"registry_mode", "pushed"},
      {"family_info",
       {{"counter", true}, {"count_limit", 80}, {"peer_intake", 40}, {"max_units", 8}, {"settles", true}}},
      {"tariffs", {{"cross_zone", 0}}},
      {"report", {{"fields", {"inflight"}}, {"how", "inline"}}},
      {"me", 0},
      {"siblings", 2},
      {"locality", "here"},
      {"round", 2}};
}

/// Sets the client timeout of all routes.
inline void set_client_timeout(Json& settings, int milliseconds) {
  for (Json& route : settings["classes"]) route["give_up"] = milliseconds;
}

/// Sets the client timeout and the latency objective of all routes to the same value.
inline void set_client_timeout_and_objective(Json& settings, int milliseconds) {
  set_client_timeout(settings, milliseconds);
  for (Json& route : settings["classes"]) route["on_time"] = milliseconds;
}

}  // namespace ironquay::net
