// The start of the gateway: configuration, address and signals.
// Rare orders of events are forced: the gateway is paused while they are put in place.
// docs/incidents/rare-faults.md describes the faults that these cases guard against.
#include <csignal>

#include "support/deployment.hpp"

namespace ironquay::net {
namespace {

TEST_CASE("an invalid configuration ends the start with one line of log") {
  const Json missing;
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
  fails_with("settings", missing, "settings are missing");
  fails_with("settings", {{"classes", 3}}, "settings: classes must be an object or an array");
  fails_with("counter", "nowhere", "counter is not an address: 'nowhere'");
  fails_with("listen", "192.0.2.1:1", "listening at 192.0.2.1:1");
  fails_with("seed", "xyz", "seed is not a hexadecimal number");
}

TEST_CASE("the start waits until the previous process has released the address") {
  Deployment deployment;
  FileDescriptor previous_listener = listen_tcp(deployment.address());
  deployment.start();
  std::this_thread::sleep_for(100ms);
  previous_listener = FileDescriptor();
  deployment.ready_client();
}

TEST_CASE("a signal during the start is handled after it") {
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
  // Whichever event the gateway handled first, it ends at once.
  REQUIRE_THAT(deployment.gateway.log(), Contains("stopped name=n0"));
}

}  // namespace
}  // namespace ironquay::net
