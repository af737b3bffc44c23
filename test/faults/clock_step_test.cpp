// The wall clock of the gateway's machine is set forward or back, by seconds or by an hour, in the middle of
// attempts, retries, idle timeouts, slow start and a drain. All of these are spans of real time.
#include "../net/support/deployment.hpp"
#include "clients.hpp"
#include "faulty_gateway.hpp"

namespace ironquay::net {
namespace {

/// The step of the wall clock; each value makes a run of its own.
Milliseconds next_step() { return Milliseconds(GENERATE(-3'600'000, -2'000, 2'000, 3'600'000)); }

std::int64_t unix_ms() {
  return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

TEST_CASE("requests at workers that hang are answered in time although the wall clock is set") {
  const Milliseconds step = next_step();
  StubBackend backend(10, 30ms);
  FaultyGateway gateway(backend);
  gateway.start();
  backend.set_hanging(true);
  ClientBehavior behavior;
  behavior.patience = 1s;
  GoodClients good(gateway.address(), "g", behavior);
  std::this_thread::sleep_for(500ms);
  gateway.wall_clock.shift(step);
  std::this_thread::sleep_for(2500ms);
  const ClientTotals totals = good.stop();
  WARN(step.count() << " ms: " << totals);
  CHECK(totals.requests >= 8);
  CHECK(totals.lost == 0);
}

TEST_CASE("a keyed request is retried within its deduplication window of real time only") {
  const Milliseconds step = next_step();
  const bool within_window = GENERATE(true, false);
  Deployment deployment(2);
  deployment.config["settings"]["classes"][1]["key_ttl"] = 700;
  const auto wall_clock = std::make_unique<WallClock>(deployment.gateway);
  TestConnection client = deployment.ready_client();
  client.send(order_request("1", 2900));
  TestConnection first = deployment.next_attempt().connection;
  REQUIRE(!first.receive_command().empty());
  wall_clock->shift(step);
  std::this_thread::sleep_for(within_window ? 100ms : 800ms);
  first.reset();  // the request may have been executed
  if (within_window) {
    deployment.next_attempt().connection.answer_command(worker_reply("v"));
    REQUIRE(client.receives(bulk_string("v")));
  } else {
    REQUIRE_THAT(client.receive_line(), StartsWith("-"));
    REQUIRE(deployment.no_attempt_for(50ms));
  }
}

TEST_CASE("a client that sends nothing is closed after 2 s of real time although the wall clock is set") {
  const Milliseconds step = next_step();
  Deployment deployment(1);
  const auto wall_clock = std::make_unique<WallClock>(deployment.gateway);
  TestConnection ready = deployment.ready_client();
  TestConnection silent = deployment.connect();
  const auto start = Clock::now();
  std::this_thread::sleep_for(1s);
  wall_clock->shift(step);
  REQUIRE(silent.receives_nothing_for(500ms));
  REQUIRE(silent.reaches_end());
  CHECK(seconds_since(start) < 4);
}

TEST_CASE("a worker that has just started is warmed up although the wall clock is set") {
  const Milliseconds step = next_step();
  // The start of the worker may be reported in the time before or after the step.
  const bool reported_after_step = GENERATE(true, false);
  constexpr std::size_t kColdWorker = 0;
  StubBackend backend(4, 10ms);
  FaultyGateway gateway(backend);
  gateway.start();
  ClientBehavior behavior;
  behavior.think_time = 2ms;
  GoodClients good(gateway.address(), "g", behavior);
  std::this_thread::sleep_for(1s);
  gateway.wall_clock.shift(step);
  std::this_thread::sleep_for(100ms);
  const std::size_t attempts_before = backend.attempts().size();
  backend.set_worker(kColdWorker, "in_service", unix_ms() + (reported_after_step ? step.count() : 0));
  std::this_thread::sleep_for(1500ms);
  const ClientTotals totals = good.stop();
  const std::vector<ReceivedAttempt> attempts = backend.attempts();
  const auto is_cold = [](const ReceivedAttempt& attempt) { return attempt.worker == kColdWorker; };
  const auto first = attempts.begin() + static_cast<std::ptrdiff_t>(attempts_before);
  const auto cold_attempts = std::count_if(first, attempts.end(), is_cold);
  const auto mean_of_others = (attempts.end() - first - cold_attempts) / 3;
  INFO(step.count() << " ms: " << cold_attempts << " attempts at the cold worker, " << mean_of_others
                    << " at others");
  CHECK(totals.lost == 0);
  CHECK(cold_attempts * 2 < mean_of_others);
}

TEST_CASE("a drain ends in time and answers all requests although the wall clock is set") {
  const Milliseconds step = next_step();
  StubBackend backend(4, 30ms);
  FaultyGateway gateway(backend);
  gateway.start();
  GoodClients good(gateway.address(), "g", {});
  std::this_thread::sleep_for(500ms);
  gateway.process.terminate();
  const auto start = Clock::now();
  gateway.wall_clock.shift(step);
  std::this_thread::sleep_for(300ms);
  good.stop_connecting();
  CHECK(gateway.process.exit_code() == 0);
  CHECK(seconds_since(start) < 3.7);  // the longest client timeout and 0.7 s
  const ClientTotals totals = good.stop();
  CHECK(totals.lost == 0);
  CHECK(backend.received(totals.closed_ids) == 0);
}

}  // namespace
}  // namespace ironquay::net
