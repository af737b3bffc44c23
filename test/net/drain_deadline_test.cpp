// Deadlines during a drain. After SIGTERM, the deployment platform waits for the longest client timeout (at
// most 3 s) plus 0.7 s before it may kill the gateway. The cases guard against requests that have no response
// by then, and against responses that are cut off because the drain ends before a client has read them. See
// also docs/incidents/rare-faults.md.
#include <thread>

#include "support/deployment.hpp"
#include "support/frontend_fixture.hpp"

namespace ironquay::net {
namespace {

TEST_CASE("a request that arrives with the response to the last request of a drain is answered") {
  FrontendFixture fixture;
  TestConnection client = fixture.connect();
  client.send(kPing);
  REQUIRE(fixture.run_until([&] { return readable(client.fd(), 0ms); }));
  REQUIRE(client.receives(kPong));
  fixture.request_hook = [&](Exchange& exchange) {
    // When the first request is answered, the second one has arrived but has not been read.
    if (fixture.request_count == 1) client.send(lookup_request("2"));
    exchange.reject(0ms);
  };
  fixture.frontend.drain([] {});
  client.send(lookup_request("1"));
  REQUIRE(fixture.run_until_requests(2));
  fixture.run_for(20ms);
  REQUIRE(client.receives("-BUSY\r\n-BUSY\r\n"));
  REQUIRE(client.reaches_end());
}

TEST_CASE(
    "requests in flight or received during a drain are answered before the kill, even with long timeouts") {
  Deployment deployment(1);
  set_client_timeout(deployment.config["settings"], 7500);
  for (Json& route : deployment.config["settings"]["classes"]) route["late_share"] = 0.5;
  TestConnection client = deployment.ready_client();
  TestConnection other = deployment.ready_client();
  client.send(pay_request("1", 7500));
  const TestConnection unresponsive_worker = deployment.next_attempt().connection;
  deployment.gateway.terminate();
  const auto start = Clock::now();
  REQUIRE(deployment.gateway.logs("draining name"));
  std::this_thread::sleep_for(800ms);
  client.send(lookup_with_timeout("2", 7500));  // its response must follow the first one
  REQUIRE(client.receives(kFailed));            // the worker may have executed the first request
  REQUIRE_THAT(client.receive_line(), StartsWith("-BUSY"));
  // The limit is 3.4 s; the checks allow for delays of the machine. The next case checks the exact limit.
  REQUIRE(seconds_since(start) < 6.5);
  REQUIRE(seconds_since(start) > 2.5);
  client.close();
  other.close();
  REQUIRE(deployment.gateway.exit_code() == 0);
}

TEST_CASE("a drain shortens deadlines so that responses are due 0.3 s before the kill") {
  // A client timeout of 7.5 s counts as 3 s in a drain, so the kill comes 3.7 s after SIGTERM at the
  // earliest.
  FrontendFixture fixture(25, 7500);
  TestConnection client = fixture.connect();
  client.send(lookup_with_timeout("1", 7500));
  REQUIRE(fixture.run_until_requests(1));
  REQUIRE(fixture.received_time_left.back() > 5s);
  fixture.frontend.drain([] {});
  REQUIRE(fixture.shortened_deadline_count == 1);
  REQUIRE(fixture.shortened_time_left <= 3400ms);
  fixture.run_for(800ms);
  client.send(lookup_with_timeout("2", 7500));
  REQUIRE(fixture.run_until_requests(2));
  REQUIRE(fixture.received_time_left.back() <= 2600ms);
}

TEST_CASE("shorter client timeouts lead to an earlier kill and to earlier deadlines in a drain") {
  FrontendFixture fixture(25, 400);  // the kill comes at least 1.1 s after SIGTERM
  TestConnection client = fixture.connect();
  client.send(lookup_request("1"));
  REQUIRE(fixture.run_until_requests(1));
  fixture.frontend.drain([] {});
  fixture.run_for(700ms);
  client.send(lookup_request("2"));  // the request in flight keeps the connection open
  REQUIRE(fixture.run_until_requests(2));
  REQUIRE(fixture.received_time_left.back() <= 100ms);
}

TEST_CASE("a drain waits longer for a client that reads slowly, so that it receives every response") {
  FrontendFixture fixture(25, 1000);
  constexpr std::size_t kRequests = 12;  // their responses exceed the system's socket buffers
  const std::string response = bulk_string(std::string(1 << 20, 'v'));
  fixture.request_hook = [&](Exchange& exchange) { exchange.respond_with_value(response); };
  TestConnection slow = fixture.connect();
  std::string requests;
  for (std::size_t i = 0; i < kRequests; ++i) requests += lookup_request(std::to_string(i));
  slow.send(requests);
  REQUIRE(fixture.run_until_requests(1));  // the others wait until the client reads
  bool drained = false;
  fixture.frontend.drain([&] {
    drained = true;
    fixture.loop.stop();
  });
  // Longer than the 1.45 s for which a drain waits for clients that have received all responses.
  fixture.run_for(2s);
  REQUIRE_FALSE(drained);
  std::size_t received = 0;
  std::thread reader([&] {
    while (received < kRequests && slow.receives(response)) ++received;
    slow.close();
  });
  fixture.run_for(30s);  // the end of the drain stops the loop earlier
  reader.join();
  REQUIRE(received == kRequests);
  REQUIRE(fixture.request_count == kRequests);
  REQUIRE(drained);
}

}  // namespace
}  // namespace ironquay::net
