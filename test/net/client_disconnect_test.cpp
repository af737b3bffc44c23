// Clients that disconnect before their requests are answered. The cases guard against requests that continue
// after their client has disconnected, and against errors for clients that reconnect and retry. Both faults
// depend on the order in which the gateway reads events from several connections. The tests force that order:
// they send the events while the gateway process is paused (SIGSTOP), or run only the Frontend on an event
// loop in the test. See also docs/incidents/rare-faults.md.
#include "support/deployment.hpp"
#include "support/frontend_fixture.hpp"

namespace ironquay::net {
namespace {

TEST_CASE("the attempt of a request is cancelled when its client disconnects") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1"));
  TestConnection worker = deployment.next_attempt().connection;
  worker.receive_command();
  client.close();
  REQUIRE(worker.reaches_end());
  REQUIRE(deployment.gateway.logs("reason=cancelled"));
  REQUIRE(deployment.gateway.logs("reason=client-closed"));
}

TEST_CASE("a listener may respond to one request of a disconnected client while it is notified of another") {
  FrontendFixture fixture;
  std::vector<Exchange*> exchanges;
  fixture.request_hook = [&](Exchange& exchange) { exchanges.push_back(&exchange); };
  fixture.disconnect_hook = [&](Exchange& exchange) { exchanges[exchange.id == 1 ? 1 : 0]->fail(); };
  TestConnection client = fixture.connect();
  client.send(lookup_request("1") + lookup_request("2") + lookup_request("3"));
  REQUIRE(fixture.run_until_requests(3));
  client.close();
  REQUIRE(fixture.run_until([&] { return fixture.disconnect_count == 2; }));
  TestConnection reconnected = fixture.connect();
  reconnected.send(lookup_request("1") + lookup_request("2"));
  REQUIRE(fixture.run_until_requests(5));
  REQUIRE(fixture.disconnect_count == 2);
}

TEST_CASE("all requests of a client are cancelled when it disconnects while the gateway has paused reading") {
  Deployment deployment(1);
  deployment.config["settings"]["bounds"]["open_cap"] = 10000;
  deployment.config["settings"]["family_info"]["count_limit"] = 8000;
  TestConnection client = deployment.ready_client();
  std::string requests;
  for (int i = 0; i < 1100; ++i) requests += small_plan_lookup(std::to_string(i));
  TestConnection counter = deployment.counter.accept();  // never replies, so all requests stay pending
  deployment.gateway.pause();
  client.send(requests);
  deployment.gateway.resume();
  for (int i = 0; i < 1024; ++i) REQUIRE_THAT(counter.receive_command(), StartsWith("CNT.ADD"));
  client.close();
  REQUIRE(deployment.gateway.logs("reason=client-closed commands=1025 in_flight=1024"));
}

TEST_CASE("a client that reconnects and retries is served even if the retry is read before the disconnect") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  TestConnection reconnected = deployment.ready_client();
  TestConnection counter = deployment.counter.accept();
  const std::string request = small_plan_lookup("1");
  client.send(small_plan_lookup("0") + request);
  REQUIRE(!counter.receive_command().empty());
  deployment.gateway.pause();
  reconnected.send(request);
  client.close();
  deployment.gateway.resume();
  // No worker or counter replies, so the response may be a rejection, but it must not be an error.
  REQUIRE_THAT(reconnected.receive_line(), !StartsWith("-ERR") && EndsWith("\r\n"));
}

TEST_CASE("a retry of a forwarded non-idempotent request is rejected when its client reconnects") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  TestConnection reconnected = deployment.ready_client();
  client.send(pay_request("2"));
  TestConnection worker = deployment.next_attempt().connection;
  REQUIRE(!worker.receive_command().empty());
  deployment.gateway.pause();
  reconnected.send(pay_request("2"));
  client.close();
  deployment.gateway.resume();
  REQUIRE(reconnected.receives(kDuplicateId));
}

TEST_CASE("a forwarded request that must not be repeated is not executed again after its client has left") {
  for (const std::string& request : {pay_request("3"), order_request("3")}) {
    Deployment deployment(1);
    TestConnection client = deployment.ready_client();
    client.send(request);
    TestConnection worker = deployment.next_attempt().connection;
    REQUIRE(!worker.receive_command().empty());
    client.close();
    REQUIRE(deployment.gateway.logs("reason=client-closed commands=2"));
    TestConnection reconnected = deployment.ready_client();
    reconnected.send(request);
    REQUIRE(reconnected.receives(kDuplicateId));
    REQUIRE(deployment.no_attempt_for(100ms));
  }
}

TEST_CASE("requests whose clients disconnect before the counter replies are not forwarded") {
  Deployment deployment(1);
  deployment.config["settings"]["family_info"]["count_limit"] = 8000;
  set_client_timeout_and_objective(deployment.config["settings"], 8000);
  constexpr std::size_t kClients = 40;
  std::vector<TestConnection> clients = deployment.ready_clients(kClients);
  TestConnection counter = deployment.counter.accept();
  for (std::size_t i = 0; i < kClients; ++i)
    clients[i].send(small_plan_lookup("id" + std::to_string(i), 8, 8000));
  for (std::size_t i = 0; i < kClients; ++i) REQUIRE_THAT(counter.receive_command(), StartsWith("CNT.ADD"));
  deployment.gateway.pause();
  for (std::size_t i = 0; i + 1 < kClients; ++i) clients[i].close();  // all but the last client
  std::string totals;
  for (std::size_t i = 0; i < kClients; ++i) totals += bulk_string("1");
  counter.send(totals);
  deployment.gateway.resume();
  TestConnection worker = deployment.next_attempt().connection;
  REQUIRE_THAT(worker.receive_command(), Contains(" id39 "));
  REQUIRE(deployment.no_attempt_for(100ms));
}

/// Longer than an attempt may begin after its client has closed.
constexpr Milliseconds kHoldUp = 150ms;

/// Makes `event` and then the close of the client wait together for the gateway, which reads them in this
/// order, over 0.1 s after the close.
template <typename Event>
void close_after(Deployment& deployment, TestConnection& client, Event event, bool reset = false) {
  deployment.gateway.pause();
  event();
  reset ? client.reset() : client.close();
  std::this_thread::sleep_for(kHoldUp);
  deployment.gateway.resume();
}

TEST_CASE("no attempt begins for a client that has left while the gateway was held up") {
  Deployment deployment(1);
  deployment.config["settings"]["family_info"]["count_limit"] = 8000;
  set_client_timeout_and_objective(deployment.config["settings"], 8000);
  SECTION("unread requests before the end of stream") {
    std::string requests;
    for (int i = 0; i < 300; ++i) requests += lookup_request(std::to_string(i));
    const bool reset = GENERATE(false, true);
    TestConnection client = deployment.ready_client();
    close_after(
        deployment, client, [&] { client.send(requests); }, reset);
  }
  SECTION("a retry after a failed attempt") {
    TestConnection client = deployment.ready_client();
    client.send(lookup_with_timeout("1", 8000));
    TestConnection worker = deployment.next_attempt().connection;
    REQUIRE(!worker.receive_command().empty());
    close_after(deployment, client, [&] { worker.close(); });
  }
  SECTION("a request that waits for the counter") {
    TestConnection client = deployment.ready_client();
    TestConnection counter = deployment.counter.accept();
    client.send(small_plan_lookup("1", 8, 8000));
    REQUIRE_THAT(counter.receive_command(), StartsWith("CNT.ADD"));
    close_after(deployment, client, [&] { counter.send(bulk_string("1")); });
  }
  SECTION("a queued request") {
    constexpr std::size_t kInFlight = 3;  // the worker's limit at first
    std::vector<TestConnection> clients = deployment.ready_clients(kInFlight + 1);
    std::vector<TestConnection> attempts;
    for (std::size_t i = 0; i <= kInFlight; ++i) {
      clients[i].send(lookup_with_timeout(std::to_string(i), 8000));
      if (i < kInFlight) attempts.push_back(deployment.next_attempt().connection);
    }
    for (TestConnection& attempt : attempts) REQUIRE(!attempt.receive_command().empty());
    REQUIRE(deployment.no_attempt_for(50ms));
    close_after(deployment, clients.back(), [&] { attempts[0].send(worker_reply("v")); });
    REQUIRE(clients[0].receives(bulk_string("v")));
    REQUIRE(attempts[0].receives_nothing_for(100ms));
  }
  REQUIRE(deployment.gateway.logs("peer=client"));
  REQUIRE(deployment.no_attempt_for(100ms));
}

}  // namespace
}  // namespace ironquay::net
