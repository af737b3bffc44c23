// Tests the settings decoder: the decoded values, and the keys that its error messages name.
#include "config/settings_decoder.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace ironquay {
namespace {

using Catch::Matchers::Message;
using Json = nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Json valid_settings() {
  return Json::parse(R"({
    "classes": [
      {"name": "lookup", "effect": "read_like", "on_time": 1000, "give_up": 3000, "gain": 1, "late_share": 0},
      {"name": "bind", "effect": "idempotency_key", "on_time": 1500.25, "give_up": 4000, "gain": 2,
       "late_share": 0.5, "key_scope": "cell", "key_ttl": 5000}],
    "plans": [{"name": "team", "refill": 1.5, "store_size": 16, "at_once": 3, "never_over_rate": 20,
               "hard_burst": 40, "beyond_earns": 0.25, "overrun_cost": 0.8}],
    "contract": {"cold_share": 0.25, "warm_after": 15000, "fall": 1000, "ask_within": 10000},
    "bounds": {"cancelling": true, "may_duplicate": false, "retry_after": true, "try_limit": 6,
               "max_retry_after": 500, "idle_close": 30000, "connect_timeout": 250, "open_cap": 1000,
               "may_tell": true},
    "family_info": {"counter": true, "count_limit": 80, "peer_intake": 40, "max_units": 8, "settles": true},
    "tariffs": {"cross_zone": 0.1},
    "report": {"fields": ["qps", "util"]},
    "registry_mode": "on_request", "me": 1, "siblings": 3, "locality": "zone-a", "round": 2, "unknown": 1})");
}

}  // namespace

TEST_CASE("settings are decoded into typed values") {
  const DecodedSettings decoded = decode_settings(valid_settings());
  const PolicySettings& policy = decoded.policy_settings;
  CHECK(decoded.route_index.at("bind") == 1);
  CHECK(decoded.plan_index.at("team") == 0);
  CHECK(decoded.report_fields == 2);
  CHECK(decoded.connection.max_open_requests == 1000);
  CHECK(decoded.connection.idle_timeout == milliseconds(30000));
  REQUIRE(policy.routes.size() == 2);
  CHECK(policy.routes[0].idempotency == Idempotency::idempotent);
  CHECK(policy.routes[1].idempotency == Idempotency::keyed);
  CHECK(policy.routes[1].dedup_scope == DedupScope::cell);
  CHECK(policy.routes[1].dedup_window == milliseconds(5000));
  CHECK(policy.routes[1].latency_objective == microseconds(1500250));
  REQUIRE(policy.plans.size() == 1);
  CHECK(policy.plans[0].max_concurrent == 3);
  CHECK(policy.plans[0].ceiling_burst == 40);
  CHECK(policy.capabilities.polls_endpoints);
  CHECK(policy.capabilities.counter_timeout == milliseconds(80));
  CHECK(policy.capabilities.gossip_rate_limit == 40);
  CHECK(policy.gateway_index == 1);
  CHECK(policy.zone == "zone-a");
}

TEST_CASE("settings of a capability are optional when the capability is absent") {
  Json settings = valid_settings();
  settings["family_info"]["counter"] = false;
  settings["family_info"].erase("count_limit");
  settings["bounds"]["may_tell"] = false;
  settings["family_info"].erase("peer_intake");
  const Capabilities capabilities = decode_settings(settings).policy_settings.capabilities;
  CHECK_FALSE(capabilities.counter);
  CHECK(capabilities.gossip_rate_limit == 0);
}

TEST_CASE("the error for a missing key names the key") {
  const Json complete = valid_settings();
  for (const auto& [key, value] : complete.items()) {
    if (key == "unknown") continue;
    Json settings = complete;
    settings.erase(key);
    INFO(key);
    CHECK_THROWS_MATCHES(decode_settings(settings), SettingsError,
                         Message("settings: " + key + " is missing"));
  }
  Json settings = complete;
  settings["classes"][1].erase("key_ttl");
  CHECK_THROWS_MATCHES(decode_settings(settings), SettingsError, Message("settings: key_ttl is missing"));
}

TEST_CASE("the error for a value of the wrong type names its key") {
  Json settings = valid_settings();
  settings["plans"][0]["refill"] = "fast";
  CHECK_THROWS_MATCHES(decode_settings(settings), SettingsError,
                       Message("settings: refill has the wrong type"));
  CHECK_THROWS_MATCHES(decode_settings(Json::array()), SettingsError,
                       Message("settings: must be a JSON object"));
}

TEST_CASE("an unknown effect or key_scope is rejected") {
  Json settings = valid_settings();
  settings["classes"][0]["effect"] = "sometimes";
  CHECK_THROWS_MATCHES(decode_settings(settings), SettingsError,
                       Message("settings: unknown effect 'sometimes'"));
  settings = valid_settings();
  settings["classes"][1]["key_scope"] = "rack";
  CHECK_THROWS_MATCHES(decode_settings(settings), SettingsError,
                       Message("settings: unknown key_scope 'rack'"));
}

}  // namespace ironquay
