// The configuration of a gateway: precedence of its sources, defaults and errors.
#include "net/gateway_config.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "support/settings.hpp"

namespace ironquay::net {
namespace {

/// A temporary configuration file. GW_CONFIG names it for the lifetime of this object.
class ConfigFile {
 public:
  explicit ConfigFile(const std::string& text) {
    char path[] = "/tmp/ironquay-config-XXXXXX";
    close(mkstemp(path));
    path_ = path;
    std::ofstream(path_) << text;
    setenv("GW_CONFIG", path_.c_str(), 1);
  }
  ~ConfigFile() {
    unsetenv("GW_CONFIG");
    std::remove(path_.c_str());
  }
  ConfigFile(const ConfigFile&) = delete;
  ConfigFile& operator=(const ConfigFile&) = delete;

 private:
  std::string path_;
};

Json valid_config() {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:7000"},
          {"discovery", "127.0.0.1:7001"},
          {"seed", "8c1f30d27a5be964"},
          {"settings", default_settings()}};
}

/// The key and the text of the error that the configuration causes; both are empty if there is no error.
std::pair<std::string, std::string> error_of(const Json& config) {
  const ConfigFile file(config.dump());
  try {
    load_gateway_config(ConfigSource::startup);
  } catch (const ConfigError& error) {
    return {error.key(), error.what()};
  }
  return {};
}

TEST_CASE("environment variables take precedence at startup, and the file takes precedence at a reload") {
  const ConfigFile file(valid_config().dump());
  setenv("GW_DISCOVERY", "127.0.0.1:7002", 1);
  const GatewayConfig at_startup = load_gateway_config(ConfigSource::startup);
  const GatewayConfig at_reload = load_gateway_config(ConfigSource::reload);
  unsetenv("GW_DISCOVERY");
  REQUIRE(to_string(at_startup.discovery) == "127.0.0.1:7002");
  REQUIRE(to_string(at_reload.discovery) == "127.0.0.1:7001");
}

TEST_CASE("optional parts of the configuration have defaults") {
  const ConfigFile file(valid_config().dump());
  const GatewayConfig config = load_gateway_config(ConfigSource::startup);
  REQUIRE(config.seed == 0x8c1f30d27a5be964);
  REQUIRE(config.memory_limit_bytes == std::size_t{192} * 1024 * 1024);
  REQUIRE(config.max_descriptors > 0);
  REQUIRE_FALSE(config.counter);
  REQUIRE_FALSE(config.gossip_listen);
  REQUIRE_FALSE(config.gossip_broadcast);
  REQUIRE(config.gossip_peers.empty());
  REQUIRE(config.cached_endpoints.is_null());
}

TEST_CASE("an error in the configuration names its key") {
  const auto with = [](const char* key, const Json& value) {
    Json config = valid_config();
    config[key] = value;
    return error_of(config);
  };
  using Error = std::pair<std::string, std::string>;
  REQUIRE(with("name", 1) == Error{"name", "configuration: name is not a string"});
  REQUIRE(with("listen", "x") == Error{"listen", "configuration: listen is not an address: 'x'"});
  REQUIRE(with("counter", "x") == Error{"counter", "configuration: counter is not an address: 'x'"});
  REQUIRE(with("seed", "xyz") == Error{"seed", "configuration: seed is not a hexadecimal number"});
  REQUIRE(with("peers", 1) == Error{"peers", "configuration: peers is not a list"});
  REQUIRE(with("peers", {1}) == Error{"peers", "configuration: peers is not an address: '1'"});
  Json config = valid_config();
  config.erase("settings");
  REQUIRE(error_of(config) == Error{"settings", "configuration: settings are missing"});
  REQUIRE(error_of(Json::array()) == Error{"", "configuration: the file does not contain a JSON object"});
}

TEST_CASE("loading the configuration fails without a readable file") {
  unsetenv("GW_CONFIG");
  REQUIRE_THROWS_AS(load_gateway_config(ConfigSource::startup), ConfigError);
  setenv("GW_CONFIG", "/nonexistent/config.json", 1);
  REQUIRE_THROWS_AS(load_gateway_config(ConfigSource::startup), ConfigError);
  unsetenv("GW_CONFIG");
}

}  // namespace
}  // namespace ironquay::net
