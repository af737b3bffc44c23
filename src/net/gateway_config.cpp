#include "net/gateway_config.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>

namespace ironquay::net {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;
constexpr std::size_t kDefaultMemoryMegabytes = 192;

Json read_config_file() {
  const char* path = std::getenv("GW_CONFIG");
  if (!path) throw ConfigError("GW_CONFIG", "GW_CONFIG is not set");
  std::ifstream file(path);
  if (!file) throw ConfigError("GW_CONFIG", std::string("cannot read ") + path);
  Json json = Json::parse(file, nullptr, false);
  if (!json.is_object()) throw ConfigError("", "the file does not contain a JSON object");
  return json;
}

// Returns the value of a key, or an empty string if the key is missing.
std::string get_string(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) return {};
  if (!found->is_string()) throw ConfigError(key, std::string(key) + " is not a string");
  return found->get<std::string>();
}

// Returns the value of a key or of an environment variable; `source` decides which of them takes precedence.
std::string get_string_or_variable(const Json& object, const char* key, const char* variable,
                                   ConfigSource source) {
  const char* from_variable = std::getenv(variable);
  const std::string from_file = get_string(object, key);
  const bool variable_set = from_variable && *from_variable;
  const bool variable_has_precedence = source == ConfigSource::startup || from_file.empty();
  return variable_set && variable_has_precedence ? std::string(from_variable) : from_file;
}

Address to_address(const std::string& text, const char* key) {
  const std::optional<Address> address = parse_address(text);
  if (!address) throw ConfigError(key, std::string(key) + " is not an address: '" + text + "'");
  return *address;
}

std::optional<Address> get_address(const Json& object, const char* key) {
  const std::string text = get_string(object, key);
  if (text.empty()) return std::nullopt;
  return to_address(text, key);
}

std::uint64_t get_seed(const Json& object) {
  const std::string digits = get_string(object, "seed");
  std::uint64_t seed = 0;
  const char* last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, seed, 16);
  if (error != std::errc() || end != last) throw ConfigError("seed", "seed is not a hexadecimal number");
  return seed;
}

std::vector<Address> get_peers(const Json& object) {
  std::vector<Address> addresses;
  const auto peers = object.find("peers");
  if (peers == object.end()) return addresses;
  if (!peers->is_array()) throw ConfigError("peers", "peers is not a list");
  for (const Json& peer : *peers) {
    const std::string text = peer.is_string() ? peer.get<std::string>() : peer.dump();
    addresses.push_back(to_address(text, "peers"));
  }
  return addresses;
}

// Returns a number in the object `limits`, `fallback` if the number is missing, or 0 if it is negative.
std::size_t get_limit(const Json& object, const char* key, std::size_t fallback) {
  const auto limits = object.find("limits");
  if (limits == object.end() || !limits->is_object()) return fallback;
  const auto limit = limits->find(key);
  if (limit == limits->end() || !limit->is_number()) return fallback;
  return static_cast<std::size_t>(std::max(0.0, limit->get<double>()));
}

// Returns the configured number of file descriptors, limited to the number that the system permits.
std::size_t get_max_descriptors(const Json& object) {
  rlimit system_limit{};
  getrlimit(RLIMIT_NOFILE, &system_limit);
  const std::size_t system_max = system_limit.rlim_cur;
  return std::min(get_limit(object, "sockets", system_max), system_max);
}

}  // namespace

GatewayConfig load_gateway_config(ConfigSource source) {
  const Json json = read_config_file();
  GatewayConfig config;
  config.name = get_string_or_variable(json, "name", "GW_NAME", source);
  config.listen = to_address(get_string_or_variable(json, "listen", "GW_LISTEN", source), "listen");
  config.discovery =
      to_address(get_string_or_variable(json, "discovery", "GW_DISCOVERY", source), "discovery");
  config.seed = get_seed(json);
  config.counter = get_address(json, "counter");
  config.gossip_listen = get_address(json, "peer_listen");
  config.gossip_broadcast = get_address(json, "peers_all");
  config.gossip_peers = get_peers(json);
  config.max_descriptors = get_max_descriptors(json);
  config.memory_limit_bytes = get_limit(json, "memory_mb", kDefaultMemoryMegabytes) * kBytesPerMegabyte;
  if (const auto cached = json.find("known"); cached != json.end()) config.cached_endpoints = *cached;
  const auto settings = json.find("settings");
  if (settings == json.end()) throw ConfigError("settings", "settings are missing");
  config.settings = decode_settings(*settings);
  return config;
}

}  // namespace ironquay::net
