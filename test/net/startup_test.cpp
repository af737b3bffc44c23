// Startup of the gateway: an invalid configuration, an address that is still in use, and early signals.
// The cases guard against a restart that fails because the previous process still holds the address, a signal
// during startup that is lost or kills the process, and a gateway that accepts clients after SIGTERM
// (docs/incidents/rare-faults.md). To force a rare order of events, a test pauses the gateway process.
#include <csignal>

#include "support/deployment.hpp"

namespace ironquay::net {
namespace {

TEST_CASE("an invalid configuration ends the process with one line in the log") {
  const Json no_value;
  const auto fails_with = [](const char* key, const Json& value, const char* error) {
    Deployment deployment;
    deployment.config[key] = value;
    if (value.is_null()) deployment.config.erase(key);
    deployment.start();
    REQUIRE(deployment.gateway.exit_code() == 1);
    const std::string log = deployment.gateway.log();
    REQUIRE_THAT(log, Contains(error));
    REQUIRE(log.find('\n') == log.size() - 1);
  };
  fails_with("settings", no_value, "settings are missing");
  fails_with("settings", {{"classes", 3}}, "settings: classes must be an object or an array");
  fails_with("counter", "nowhere", "counter is not an address: 'nowhere'");
  fails_with("listen", "192.0.2.1:1", "listening at 192.0.2.1:1");
  fails_with("seed", "xyz", "seed is not a hexadecimal number");
}

TEST_CASE("startup waits until the previous process has released the address") {
  Deployment deployment;
  FileDescriptor previous_listener = listen_tcp(deployment.address());
  deployment.start();
  std::this_thread::sleep_for(100ms);
  previous_listener = FileDescriptor();
  deployment.ready_client();
}

TEST_CASE("a signal that arrives during startup is handled after startup") {
  for (const int signal : {SIGHUP, SIGTERM}) {
    Deployment deployment(1);
    FileDescriptor previous_listener = listen_tcp(deployment.address());
    deployment.start();
    REQUIRE(wait_until([&] { return deployment.gateway.blocks(signal); }, 1ms));
    deployment.gateway.send_signal(signal);
    std::this_thread::sleep_for(20ms);
    previous_listener = FileDescriptor();
    if (signal == SIGTERM) {
      REQUIRE(deployment.gateway.exit_code() == 0);
    } else {
      deployment.ready_client();
      REQUIRE(deployment.gateway.logs("configuration reloaded discovery"));
    }
  }
}

TEST_CASE("SIGTERM before the first endpoint list ends the program without accepting clients") {
  Deployment deployment(1);
  deployment.start();
  TestConnection watch = deployment.discovery.accept();
  deployment.gateway.pause();
  deployment.gateway.terminate();
  watch.send(std::string(kHttpOkChunked) + watch_event({{"hosts", Json::array()}}));
  deployment.gateway.resume();
  REQUIRE(deployment.gateway.exit_code() == 0);
  // Whichever event the gateway handled first, it shuts down immediately.
  REQUIRE_THAT(deployment.gateway.log(), Contains("stopped name=n0"));
}

}  // namespace
}  // namespace ironquay::net
