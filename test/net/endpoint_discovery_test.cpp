// The endpoint list, and the watch that keeps it up to date.
// The last three cases guard against faults of discovery (docs/incidents/rare-faults.md): (1) a shared
// service does not answer one of the requests; (2) a response is reset in the middle of an object; (3) a
// service never responds while a gateway restarts.
#include "support/deployment.hpp"

namespace ironquay::net {
namespace {

TEST_CASE(
    "a draining worker gets no new requests even if its event arrives in pieces, and the watch is resumed") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  auto [watch, request] = deployment.take_watch();
  REQUIRE_THAT(request, StartsWith("GET /discovery/hosts?watch=1&from=41 HTTP/1.1\r\n"));
  const std::string change = deployment.endpoint_change(43, 0, "terminating").dump() + "\n";
  watch.send_byte_by_byte(http_chunk(change.substr(0, 30)) + http_chunk(change.substr(30)));
  watch.send(http_chunk("\n"));
  watch.close();
  const Watch resumed = deployment.take_watch();
  REQUIRE_THAT(resumed.request, Contains("from=43 "));
  for (int i = 0; i < 8; ++i) client.send(lookup_request(std::to_string(i)));
  for (int i = 0; i < 3; ++i) REQUIRE(deployment.next_attempt().worker == 1);
  REQUIRE_FALSE(deployment.worker(0).has_connection_within(20ms));
}

TEST_CASE(
    "no client is accepted before discovery has answered, even if a cached endpoint list is configured") {
  Deployment deployment(1);
  deployment.start();
  const TestConnection unanswered = deployment.discovery.accept();
  const TestConnection also_unanswered = deployment.discovery.accept();  // the gateway's second request
  TestConnection early_client = deployment.connect();
  early_client.send(kPing);
  REQUIRE(early_client.reaches_end());
  REQUIRE_FALSE(deployment.gateway.has_logged("ready"));
  auto [watch, request] = deployment.take_watch();
  REQUIRE_THAT(request, Contains("from=41 "));
  watch.send(http_chunk(deployment.endpoint_list(42, "terminating").dump()));
  REQUIRE(deployment.gateway.logs("ready"));
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1"));
  REQUIRE(deployment.no_attempt_for(50ms));
}

TEST_CASE("when a watch receives only parts of a line, another one is opened and the first stays open") {
  Deployment deployment(2);
  TestConnection client = deployment.ready_client();
  auto [watch, request] = deployment.take_watch();
  watch.send("400\r\n{");
  const auto start = Clock::now();
  int spaces = 0;
  while (!deployment.discovery.has_connection_within(100ms) && ++spaces < 60) watch.send(" ");
  REQUIRE(Clock::now() - start > 2s);
  // The gateway must know of changes within 6 s. The rest of that time is for another request.
  REQUIRE(Clock::now() - start < 4s);
  const TestConnection unanswered = deployment.discovery.accept();
  auto [new_watch, new_request] = deployment.take_watch();
  REQUIRE_THAT(new_request, Contains("from=41 "));
  new_watch.send(http_chunk(deployment.endpoint_change(42, 0, "terminating").dump(1) + "\n"));
  REQUIRE(watch.reaches_end());
  for (int i = 0; i < 4; ++i) client.send(lookup_request(std::to_string(i)));
  for (int i = 0; i < 2; ++i) REQUIRE(deployment.next_attempt().worker == 1);
  REQUIRE_FALSE(deployment.worker(0).has_connection_within(20ms));
}

TEST_CASE(
    "an endpoint list that is invalid, nested too deeply or incomplete ends its watch and changes nothing") {
  for (const std::string& invalid :
       {std::string("[]"), std::string(R"({"seq":42,"whole":true,"hosts":{}})"), std::string("{\"hosts\" 1}"),
        std::string("x"), "{\"a\":" + std::string(40, '[')}) {
    Deployment deployment(1);
    TestConnection client = deployment.ready_client();
    auto [watch, request] = deployment.take_watch();
    watch.send(http_chunk(invalid));
    INFO(invalid.substr(0, 40));
    REQUIRE(watch.reaches_end());
    REQUIRE(deployment.gateway.logs("reason=malformed-response"));
    auto [second_watch, second_request] = deployment.take_watch();
    REQUIRE_THAT(second_request, Contains("from=41 "));
    second_watch.send("ffffffffffffffffffff\r\n");  // a chunk size that exceeds every integer type
    REQUIRE(second_watch.reaches_end());
    // An entry or field of a wrong type is ignored, and the remaining ones are used.
    TestConnection third_watch = deployment.take_watch().connection;
    third_watch.send(
        http_chunk(R"({"seq":1e300,"hosts":[7,{"host":"s-9","dial":"127.0.0.1:0","health":"in_service"},)"
                   R"({"host":"s-0","born_ms":1e300,"health":"draining"},)"
                   R"({"host":"s-0","dial":)" +
                   Json(deployment.worker(0).address()).dump() +
                   R"(,"health":"in_service","block":1e99,"site":3,"share":"x"}]})"));
    client.send(lookup_request("1"));
    deployment.next_attempt().connection.answer_command(worker_reply("v"));
    REQUIRE(client.receives(bulk_string("v")));
  }
}

TEST_CASE(
    "in on_request mode, a hedged request for the endpoint list is sent when the first response is late") {
  Deployment deployment(2);
  deployment.config["settings"]["registry_mode"] = "on_request";
  deployment.start();
  TestConnection unanswered = deployment.discovery.accept();
  const auto start = Clock::now();
  TestConnection hedged_watch = deployment.discovery.accept();
  REQUIRE(seconds_since(start) < 3);  // the gateway must know of changes within 6 s
  hedged_watch.receive_http_head();
  hedged_watch.send(std::string(kHttpOkChunked) + watch_event(deployment.endpoint_list(42, "terminating")));
  REQUIRE(unanswered.reaches_end());
  REQUIRE(deployment.gateway.logs("reason=redundant"));
}

TEST_CASE("a watch response that is reset midway applies only the complete objects") {
  Deployment deployment(2);
  deployment.start();
  const std::string complete = deployment.endpoint_change(43, 0, "in_service").dump() + "\n";
  const std::string next = deployment.endpoint_change(44, 1, "terminating").dump();
  const std::string incomplete = next.substr(0, next.size() - 1);
  const auto is_ready = [&] { return deployment.gateway.has_logged("ready name"); };
  TestConnection watch;
  while (!is_ready()) {  // a watch may time out at the gateway before the test answers it
    watch = deployment.discovery.accept();
    watch.receive_http_head();
    watch.send(kHttpOk + complete + incomplete);
    const auto start = Clock::now();
    while (Clock::now() - start < 300ms && !is_ready() && !deployment.discovery.has_connection_within(5ms)) {
    }
  }
  watch.reset();
  std::string request;
  for (int requests = 0; requests < 50 && request.find("from=43 ") == std::string::npos; ++requests)
    request = deployment.discovery.accept().receive_http_head();
  REQUIRE_THAT(request, Contains("from=43 "));
  REQUIRE(deployment.gateway.logs("reason=discovery-reset"));
}

TEST_CASE("a restarted gateway is ready within ten seconds even if discovery does not respond") {
  repeat_until_in_time(
      [] {
        Deployment deployment(1);
        deployment.start();
        const TestConnection unanswered = deployment.discovery.accept();
        const auto start = Clock::now();
        while (!deployment.gateway.has_logged("ready name") && seconds_since(start) < 12)
          std::this_thread::sleep_for(20ms);
        // The gateway waits for discovery for nearly ten seconds, because the cached endpoint list may be
        // outdated.
        REQUIRE(seconds_since(start) > 8);
        return seconds_since(start) < 10;
      },
      4);
}

}  // namespace
}  // namespace ironquay::net
