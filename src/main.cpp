// Runs one gateway. SIGHUP reloads its configuration, SIGTERM and SIGINT shut it down gracefully.
#include <csignal>
#include <exception>
#include <string>
#include <utility>

#include "net/config_reloader.hpp"
#include "net/gateway.hpp"
#include "net/log.hpp"
#include "net/signal_handler.hpp"

namespace {

namespace net = ironquay::net;

// Starts the gateway and returns when it has shut down.
void run_gateway() {
  net::EventLoop loop;
  net::GatewayConfig config = net::load_gateway_config(net::ConfigSource::startup);
  const std::string name = config.name;
  const std::string listen = net::to_string(config.listen);
  const auto on_ready = [&] { net::log("ready name=%s listen=%s", name.c_str(), listen.c_str()); };
  net::Gateway gateway(loop, std::move(config), on_ready);
  net::ConfigReloader reloader(loop, gateway);
  bool draining = false;
  net::SignalHandler signal_handler(loop, [&](int signal) {
    if (signal == SIGHUP) return reloader.reload();
    if (std::exchange(draining, true)) return;
    net::log("draining name=%s", name.c_str());
    gateway.drain();
  });
  loop.run();
  net::log("stopped name=%s", name.c_str());
}

}  // namespace

int main() {
  // This call comes first, so that a signal during startup stays pending until the event loop runs.
  net::block_handled_signals();
  try {
    run_gateway();
    return 0;
  } catch (const std::exception& error) {
    net::log("fatal: %s", error.what());
    return 1;
  }
}
