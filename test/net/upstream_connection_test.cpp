// Worker connections that are kept open and reused.
// The last two cases guard against two faults (docs/incidents/rare-faults.md). First: a worker sends a reply
// twice, the second time a few milliseconds later; if the connection were reused immediately, the duplicate
// would be taken for the reply to the next request. Second: a worker resets a reused connection after it has
// received a request; the request may have been executed, and must not be executed twice.
#include "net/upstream_pool.hpp"
#include "support/deployment.hpp"
#include "support/frontend_fixture.hpp"

namespace ironquay::net {
namespace {

TEST_CASE("an idle worker connection is reused for the next requests") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1"));
  TestConnection worker = deployment.next_attempt().connection;
  for (const char* id : {"2", "3"}) {
    worker.answer_command(worker_reply("v"));
    REQUIRE(client.receives(bulk_string("v")));
    std::this_thread::sleep_for(kReuseDelay);
    client.send(lookup_request(id));
  }
  REQUIRE_THAT(worker.receive_command(), Contains(" 3 "));
  REQUIRE(deployment.no_attempt_for(20ms));
}

TEST_CASE("a connection that the worker has closed is not reused") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  // Three requests are in flight and the fourth waits for capacity. It is forwarded when the first reply
  // arrives, together with the end of stream of its connection.
  for (const char* id : {"1", "2", "3", "4"}) client.send(pay_request(id));
  std::vector<TestConnection> connections;
  for (int i = 0; i < 3; ++i) connections.push_back(deployment.next_attempt().connection);
  connections[0].receive_command();
  connections[0].send_and_half_close(worker_reply("v"));
  REQUIRE(connections[0].reaches_end());
  TestConnection new_connection = deployment.next_attempt().connection;
  REQUIRE_THAT(new_connection.receive_command(), Contains(" 4 "));
  new_connection.send(worker_reply("v"));
  for (int i = 1; i < 3; ++i) connections[static_cast<std::size_t>(i)].reset();
  new_connection.half_close();  // the connection is idle
  REQUIRE(new_connection.reaches_end());
  client.send(pay_request("5"));
  REQUIRE_THAT(deployment.next_attempt().connection.receive_command(), Contains(" 5 "));
}

TEST_CASE("connections to a worker, even busy ones, are not reused for a new worker at the same address") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  auto [watch, request] = deployment.take_watch();
  client.send(lookup_request("1"));
  TestConnection old_connection = deployment.next_attempt().connection;
  old_connection.receive_command();
  Json list = deployment.endpoint_list(43, "in_service");
  list["hosts"][0]["host"] = "s-new";
  watch.send(watch_event(list));
  std::this_thread::sleep_for(50ms);  // until the gateway has applied the event
  old_connection.send(worker_reply("v"));
  REQUIRE(client.receives(bulk_string("v")));
  watch.send(watch_event(deployment.empty_endpoint_change(44)));
  std::this_thread::sleep_for(50ms);  // until the gateway has applied the event
  client.send(lookup_request("2"));
  deployment.next_attempt().connection.answer_command(worker_reply("w"));
  REQUIRE(client.receives(bulk_string("w")));
  REQUIRE(old_connection.reaches_end());
}

TEST_CASE("a busy connection to a worker that was gone in between is not reused") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  auto [watch, request] = deployment.take_watch();
  client.send(lookup_request("1"));
  TestConnection old_connection = deployment.next_attempt().connection;
  REQUIRE(!old_connection.receive_command().empty());
  watch.send(watch_event(deployment.endpoint_change(43, 0, "terminated")) +
             watch_event(deployment.endpoint_change(44, 0, "in_service")));
  std::this_thread::sleep_for(50ms);  // until the gateway has applied the events
  old_connection.send(worker_reply("v"));
  REQUIRE(client.receives(bulk_string("v")));
  REQUIRE(old_connection.reaches_end());
}

TEST_CASE("a keyed retry does not reach a new process of another cell at the address of a listed worker") {
  Deployment deployment(2);
  deployment.config["settings"]["classes"][1]["key_scope"] = "cell";
  TestConnection client = deployment.ready_client();
  auto [watch, request] = deployment.take_watch();
  client.send(order_request("1"));
  auto [connection, worker] = deployment.next_attempt();
  REQUIRE(!connection.receive_command().empty());
  Json change = deployment.endpoint_change(43, 1 - worker, "in_service");
  change["hosts"][0]["host"] = "s-new";
  change["hosts"][0]["block"] = 2;
  watch.send(watch_event(change));
  std::this_thread::sleep_for(50ms);  // until the gateway has applied the event
  connection.reset();                 // the request may have been executed
  REQUIRE(client.receives(kFailed));
  REQUIRE(deployment.no_attempt_for(100ms));
}

TEST_CASE("a worker connection is not reused while a duplicate reply may still arrive") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  int run = 0;
  const auto second_request_within_reuse_delay = [&] {
    const std::string id = std::to_string(++run);
    client.send(lookup_request(id + "a"));
    TestConnection worker = deployment.next_attempt().connection;
    worker.receive_command();
    worker.send(worker_reply("v"));
    const auto replied_at = Clock::now();
    REQUIRE(client.receives(bulk_string("v")));
    std::this_thread::sleep_for(7ms);
    client.send(lookup_request(id + "b"));
    REQUIRE(readable_any({&worker.fd(), &deployment.worker(0).fd()}, kWaitTimeout));
    // On a slow machine the second request may have arrived after the reuse delay.
    const bool in_time = seconds_since(replied_at) < 0.019;
    const bool uses_new_connection = deployment.worker(0).has_connection_within(0ms);
    if (in_time) REQUIRE(uses_new_connection);
    TestConnection new_connection;
    if (uses_new_connection) {
      new_connection = deployment.worker(0).accept();
      worker.send(worker_reply("duplicate"));
    }
    (uses_new_connection ? new_connection : worker).answer_command(worker_reply("w"));
    REQUIRE(client.receives(bulk_string("w")));
    std::this_thread::sleep_for(25ms);
    return in_time;
  };
  repeat_until_in_time(second_request_within_reuse_delay, 200);
}

TEST_CASE("when a reused connection is reset, a non-idempotent request fails and a keyed one is retried") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  const auto idle_worker_connection = [&] {
    client.send(lookup_request("1"));
    TestConnection worker = deployment.next_attempt().connection;
    worker.receive_command();
    worker.send(worker_reply("v"));
    REQUIRE(client.receives(bulk_string("v")));
    std::this_thread::sleep_for(kReuseDelay + 10ms);
    return worker;
  };
  TestConnection worker = idle_worker_connection();
  client.send(pay_request("2"));
  REQUIRE_THAT(worker.receive_command(), Contains("c=pay"));
  worker.reset();
  REQUIRE(client.receives(kFailed));
  REQUIRE(deployment.no_attempt_for(50ms));

  worker = idle_worker_connection();
  client.send(order_request("3"));
  REQUIRE_THAT(worker.receive_command(), Contains("k=q"));
  worker.reset();
  TestConnection retry = deployment.next_attempt().connection;
  REQUIRE_THAT(retry.receive_command(), Contains("k=q"));
  retry.send(worker_reply("w"));
  REQUIRE(client.receives(bulk_string("w")));
}

// Answers the request that is in flight with the value of its attempt.
struct ForwardingListener : UpstreamPool::Listener {
  const Exchange* find_request(RequestId) const override { return exchange; }
  void on_attempt_end(const AttemptEnd& end) override {
    if (end.outcome == Outcome::success) exchange->respond_with_value(end.value);
  }
  bool may_send_attempt(RequestId, std::size_t) override { return true; }
  void on_health_check_end(WorkerId, Outcome, Duration) override {}

  Exchange* exchange = nullptr;
};

// Guards against a request whose bytes are overwritten, in the read buffer that all connections share, by
// what a worker has sent on an idle connection (docs/incidents/shared-read-buffer.md).
TEST_CASE("a duplicate reply that arrives while a request is processed does not change the request") {
  constexpr WorkerId kWorker = 1;
  FrontendFixture fixture;
  TestServer server;
  ForwardingListener listener;
  const DecodedSettings settings = decode_settings(default_settings());
  UpstreamPool pool(fixture.loop, settings.connection, {8, 1 << 20}, listener);
  pool.set_endpoint(kWorker, address_of(server.fd()), 0ms);
  const std::string reply = worker_reply(std::string(120, 'v'));
  TestConnection worker;
  fixture.request_hook = [&](Exchange& exchange) {
    listener.exchange = &exchange;
    if (exchange.id == 2) worker.send(reply);
    std::this_thread::sleep_for(5ms);  // until the reply has arrived
    pool.send_attempt(exchange, 0, kWorker, 1s);
  };
  TestConnection client = fixture.connect();
  client.send(lookup_request("first"));
  REQUIRE(fixture.run_until_requests(1));
  worker = server.accept();
  fixture.run_for(20ms);
  worker.answer_command(reply);
  fixture.run_for(kReuseDelay + 20ms);
  REQUIRE(client.receives(bulk_string(std::string(120, 'v'))));

  client.send(lookup_request("second"));
  REQUIRE(fixture.run_until_requests(2));
  TestConnection new_connection = server.accept();
  fixture.run_for(20ms);
  REQUIRE_THAT(new_connection.receive_command(),
               StartsWith("CALL.GET " + std::string(kCustomer) + " second c="));
  new_connection.send(worker_reply("w"));
  fixture.run_for(20ms);
  REQUIRE(client.receives(bulk_string("w")));
  REQUIRE(worker.reaches_end());
}

}  // namespace
}  // namespace ironquay::net
