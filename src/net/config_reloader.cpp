#include "net/config_reloader.hpp"

#include <exception>
#include <utility>

#include "net/gateway_config.hpp"
#include "net/log.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// How long a failed reload is retried, and how often. ConfigReloader::reload() gives the reason.
constexpr Duration kRetryPeriod = 4s;
constexpr Duration kRetryInterval = 100ms;

}  // namespace

ConfigReloader::ConfigReloader(EventLoop& loop, Gateway& gateway)
    : loop_(loop), gateway_(gateway), retry_timer_(loop, [this] { try_reload(); }) {}

void ConfigReloader::reload() {
  retry_until_ = loop_.now() + kRetryPeriod;
  failure_logged_ = false;
  try_reload();
}

void ConfigReloader::try_reload() {
  retry_timer_.stop();
  try {
    const GatewayConfig config = load_gateway_config(ConfigSource::reload);
    log("configuration reloaded discovery=%s counter=%s", to_string(config.discovery).c_str(),
        config.counter ? to_string(*config.counter).c_str() : "none");
    gateway_.reconfigure(config);
  } catch (const std::exception& error) {
    if (!std::exchange(failure_logged_, true))
      log("configuration reload failed, keeping the current one: %s", error.what());
    if (loop_.now() < retry_until_) retry_timer_.expire_after(kRetryInterval);
  }
}

}  // namespace ironquay::net
