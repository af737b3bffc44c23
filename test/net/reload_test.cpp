// SIGHUP makes the gateway reload its configuration.
// The last two cases guard against two faults (docs/incidents/rare-faults.md). First: SIGHUP arrives while
// the file is still being written, and no second SIGHUP follows; the gateway must read the file again by
// itself. Second: two reloads change the address of discovery and change it back; the watch that is still
// open at the first address must stay in use, or the changes that it reports are lost.
#include "support/deployment.hpp"

namespace ironquay::net {
namespace {

TEST_CASE(
    "a reload changes the discovery and counter addresses, and pending counter calls get their own replies") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  TestConnection counter = deployment.counter.accept();
  auto [watch, request] = deployment.take_watch();
  client.send(small_plan_lookup("1") + small_plan_lookup("2"));
  const std::string first_call = counter.receive_command();
  const std::string second_call = counter.receive_command();
  REQUIRE_THAT(second_call, StartsWith(first_call.substr(0, 25)));  // both calls are for the same customer

  deployment.gateway.write_config("{");
  deployment.gateway.reload();
  REQUIRE(
      deployment.gateway.logs("configuration reload failed, keeping the current one: configuration: the file "
                              "does not contain a JSON object"));
  REQUIRE(watch.receives_nothing_for(20ms));

  const TestServer new_discovery;
  const TestServer new_counter;
  deployment.config["discovery"] = new_discovery.address();
  deployment.config["counter"] = new_counter.address();
  deployment.reload_config();
  const TestConnection unanswered = new_discovery.accept();
  TestConnection new_watch = new_discovery.accept();
  REQUIRE_THAT(new_watch.receive_http_head(), StartsWith("GET /discovery/hosts?watch=1 HTTP/1.1\r\n"));
  REQUIRE(watch.receives_nothing_for(20ms));  // the watch stays open until the new address has answered
  new_watch.send(std::string(kHttpOk) + deployment.endpoint_list(7, "in_service").dump(2));
  REQUIRE(watch.reaches_end());
  // The reply to the third call arrives first. Only the first request is within the quota.
  client.send(small_plan_lookup("3"));
  new_counter.accept().answer_command(bulk_string("1000000"));
  counter.send(bulk_string("1") + bulk_string("1000000"));
  REQUIRE_THAT(deployment.next_attempt().connection.receive_command(), Contains(" 1 "));
  REQUIRE(counter.reaches_end());
  REQUIRE(deployment.gateway.logs("reason=address-changed"));
}

TEST_CASE("a configuration that is incomplete at SIGHUP is read again when it is complete") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  const TestServer new_discovery;
  deployment.config["discovery"] = new_discovery.address();
  const std::string complete = deployment.config.dump();
  deployment.gateway.write_config(complete.substr(0, complete.size() / 2));
  deployment.gateway.reload();
  REQUIRE(deployment.gateway.logs("configuration reload failed, keeping the current one"));
  deployment.gateway.write_config(complete);
  REQUIRE(new_discovery.has_connection_within(kWaitTimeout));
  REQUIRE(deployment.gateway.times_logged("reload failed") == 1);
}

TEST_CASE(
    "after two reloads that return to the first discovery address, the watch open there is still used") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  auto [watch, request] = deployment.take_watch();
  const TestServer other_discovery;
  deployment.config["discovery"] = other_discovery.address();
  deployment.reload_config();
  TestConnection other_watch = other_discovery.accept();
  deployment.config["discovery"] = deployment.discovery.address();
  deployment.reload_config();
  TestConnection new_watch = deployment.discovery.accept();
  REQUIRE(other_watch.reaches_end());  // a watch at the other address is not needed any more
  REQUIRE_THAT(new_watch.receive_http_head(), Contains("watch=1 HTTP"));
  watch.send(watch_event(deployment.endpoint_change(45, 0, "terminating")));
  std::this_thread::sleep_for(20ms);
  client.send(lookup_request("1"));
  REQUIRE(deployment.no_attempt_for(50ms));
}

}  // namespace
}  // namespace ironquay::net
