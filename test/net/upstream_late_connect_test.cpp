// Attempts that are no longer valid when their connection is established.
// The fault behind the cases: a worker with a full listen backlog accepts a connection only after seconds
// (docs/incidents/rare-faults.md). An attempt that waits for the connection must not be sent if one of these
// events happens first: the worker starts to drain (it must get no new requests), the deduplication window
// ends (the request could be executed twice), or the client disconnects (the result would be useless).
#include "support/deployment.hpp"
#include "support/full_backlog_server.hpp"

namespace ironquay::net {
namespace {

/// Replaces worker 0 by `late_worker` and extends the timeouts, so that the gateway waits for its connection.
void replace_worker_0(Deployment& deployment, const FullBacklogServer& late_worker) {
  deployment.config["settings"]["bounds"]["connect_timeout"] = 4000;
  set_client_timeout_and_objective(deployment.config["settings"], 6000);
  deployment.edit_endpoint = [&late_worker](Json& endpoint) {
    if (endpoint["host"] == "s-0") endpoint["dial"] = late_worker.address();
  };
  deployment.config["known"] = deployment.endpoint_list(41, "in_service");
}

bool closes_without_command(TestConnection connection) {
  return connection.reaches_end() && connection.receive_command().empty();
}

TEST_CASE("an attempt whose worker drains before the connection is established goes to another worker") {
  FullBacklogServer late_worker;
  Deployment deployment(2);
  replace_worker_0(deployment, late_worker);
  TestConnection client = deployment.ready_client();
  auto [watch, request] = deployment.take_watch();
  watch.send(watch_event(deployment.endpoint_change(42, 1, "terminating")));
  client.send(pay_request("1", 5000));
  late_worker.wait_for_pending_connect();
  watch.send(watch_event(deployment.endpoint_change(43, 0, "terminating")) +
             watch_event(deployment.endpoint_change(44, 1, "in_service")));
  late_worker.free_backlog();
  REQUIRE(closes_without_command(late_worker.accept()));
  REQUIRE(deployment.gateway.logs("reason=attempt-expired"));
  TestConnection worker = deployment.next_attempt().connection;
  REQUIRE_THAT(worker.answer_command(worker_reply("v")), Contains(" 1 "));
  REQUIRE(client.receives(bulk_string("v")));
}

TEST_CASE("a retry whose connection is established after the deduplication window is never sent") {
  FullBacklogServer late_worker;
  Deployment deployment(2);
  replace_worker_0(deployment, late_worker);
  deployment.config["settings"]["classes"][1]["key_ttl"] = 700;  // the deduplication window of orders, ms
  TestConnection client = deployment.ready_client();
  auto [watch, request] = deployment.take_watch();
  watch.send(watch_event(deployment.endpoint_change(42, 0, "terminating")));
  client.send(order_request("1", 5000));
  TestConnection worker = deployment.next_attempt().connection;
  worker.receive_command();
  watch.send(watch_event(deployment.endpoint_change(43, 0, "in_service")) +
             watch_event(deployment.endpoint_change(44, 1, "terminating")));
  worker.reset();  // the request may have been executed; its retry waits for the late worker
  late_worker.wait_for_pending_connect();
  late_worker.free_backlog();
  REQUIRE(closes_without_command(late_worker.accept()));
  REQUIRE_THAT(client.receive_line(), StartsWith("-BUSY"));
}

TEST_CASE("an attempt whose client disconnects before the connection is established is never sent") {
  FullBacklogServer late_worker;
  Deployment deployment(1);
  replace_worker_0(deployment, late_worker);
  deployment.config["settings"]["bounds"]["cancelling"] = false;
  TestConnection client = deployment.ready_client();
  client.send(lookup_with_timeout("1", 5000));
  late_worker.wait_for_pending_connect();
  client.close();
  REQUIRE(deployment.gateway.logs("reason=client-closed"));
  late_worker.free_backlog();
  REQUIRE(closes_without_command(late_worker.accept()));
}

TEST_CASE("the deadline told to a worker does not include the time that its connection took") {
  FullBacklogServer late_worker;
  Deployment deployment(1);
  replace_worker_0(deployment, late_worker);
  TestConnection client = deployment.ready_client();
  client.send(lookup_with_timeout("1", 3000));
  const auto sent_at = Clock::now();
  late_worker.wait_for_pending_connect();
  late_worker.free_backlog();
  TestConnection worker = late_worker.accept();  // about a second later
  const std::string command = worker.receive_command();
  const auto left = std::chrono::duration_cast<Milliseconds>(sent_at + 3s - Clock::now());
  const std::size_t told = command.find(",d=");
  REQUIRE(told != std::string::npos);
  REQUIRE(std::stol(command.substr(told + 3)) <= left.count() + 150);
  REQUIRE(left < 2500ms);
}

TEST_CASE("an attempt whose client leaves right after the connection is established is never sent") {
  FullBacklogServer late_worker;
  Deployment deployment(1);
  replace_worker_0(deployment, late_worker);
  TestConnection client = deployment.ready_client();
  client.send(lookup_with_timeout("1", 5000));
  late_worker.wait_for_pending_connect();
  deployment.gateway.pause();
  late_worker.free_backlog();
  TestConnection attempt = late_worker.accept();
  client.close();
  std::this_thread::sleep_for(150ms);
  deployment.gateway.resume();
  REQUIRE(closes_without_command(std::move(attempt)));
}

}  // namespace
}  // namespace ironquay::net
