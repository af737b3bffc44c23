// The configuration of a gateway, read from environment variables and from the file that GW_CONFIG names.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/settings_decoder.hpp"
#include "net/socket.hpp"

namespace ironquay::net {

struct GatewayConfig {
  std::string name;                         // the gateway's name in the log
  Address listen{};                         // address at which clients connect
  Address discovery{};                      // address of discovery
  std::uint64_t seed = 0;                   // seed of this gateway's random numbers
  std::size_t max_descriptors = 0;          // limit on the file descriptors of the process
  std::size_t memory_limit_bytes = 0;       // limit on the memory of the process
  std::optional<Address> counter;           // address of the counter service; empty if none is used
  std::optional<Address> gossip_listen;     // address that receives gossip; empty if none is used
  std::vector<Address> gossip_peers;        // addresses of all gateways, indexed by gateway number
  std::optional<Address> gossip_broadcast;  // address that reaches all gateways
  nlohmann::json cached_endpoints;          // the cached endpoint list; null if there is none
  DecodedSettings settings;
};

// The configuration lacks a required key, or a part of it is invalid.
class ConfigError : public std::runtime_error {
 public:
  // `key` is the key or environment variable at fault, or empty if the file as a whole is at fault. `problem`
  // is one line of text.
  ConfigError(std::string key, const std::string& problem)
      : std::runtime_error("configuration: " + problem), key_(std::move(key)) {}
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

// When the configuration is loaded.
enum class ConfigSource {
  startup,  // environment variables take precedence over the file
  reload,   // the file takes precedence, because the variables have not changed since startup
};

// Reads the file that GW_CONFIG names, and the variables GW_NAME, GW_LISTEN and GW_DISCOVERY. Throws
// ConfigError, or std::runtime_error from decode_settings(), with one line of text.
GatewayConfig load_gateway_config(ConfigSource source);

}  // namespace ironquay::net
