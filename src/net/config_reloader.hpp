// Reloads the configuration of a running gateway.
#pragma once
#include "net/event_loop.hpp"
#include "net/gateway.hpp"
#include "net/timer.hpp"

namespace ironquay::net {

class ConfigReloader {
 public:
  ConfigReloader(EventLoop& loop, Gateway& gateway);

  // Loads the configuration and applies it. An invalid file changes nothing. The file may still be incomplete
  // when the reload is requested, and no second request follows. A failed reload is therefore retried for
  // 4 s, the time within which the deployment platform expects the new configuration to take effect.
  void reload();

 private:
  void try_reload();

  EventLoop& loop_;
  Gateway& gateway_;
  Timer retry_timer_;
  Duration retry_until_{0};      // when the retries of the latest reload end
  bool failure_logged_ = false;  // a failure of the latest reload was logged; retries log no further ones
};

}  // namespace ironquay::net
