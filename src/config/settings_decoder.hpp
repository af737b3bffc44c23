// Decodes the operators' settings, a JSON object. The simulator sends it in its START message, and the
// configuration file of a gateway contains it under the key `settings`.
#pragma once
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>

#include "policy/settings.hpp"

namespace ironquay {

// The settings object is invalid. what() names the key that is missing or has an invalid value.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Settings for the connections to clients and workers. The load balancer does not read them.
struct ConnectionSettings {
  Duration idle_timeout{0};           // time after which a worker closes an idle connection
  Duration connect_timeout{0};        // time limit for establishing a connection to a worker
  std::size_t max_open_requests = 0;  // maximum number of unanswered requests in a gateway, 0: unlimited
  double max_units = 0;               // maximum quota units of one request
};

struct DecodedSettings {
  PolicySettings policy_settings;
  ConnectionSettings connection;
  std::map<std::string, std::size_t, std::less<>> route_index;  // index in PolicySettings::routes, by name
  std::map<std::string, std::size_t, std::less<>> plan_index;   // index in PolicySettings::plans, by name
  std::size_t report_fields = 0;                                // number of values in a load report
};

// Decodes the settings object and ignores unknown keys. Throws SettingsError if a required key is missing or
// its value is invalid.
DecodedSettings decode_settings(const nlohmann::json& settings);

}  // namespace ironquay
