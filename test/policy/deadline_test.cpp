// Tests that every request gets exactly one final answer, by its deadline.
#include <catch2/catch.hpp>

#include "support.hpp"

namespace ironquay {
namespace {

TEST_CASE("a request with an attempt in flight at its deadline gets exactly one final answer") {
  const std::pair<std::size_t, std::string> answers_by_route[] = {
      {0, "reject 1"}, {1, "fail 1"}, {2, "fail 1"}};
  for (const auto& [route, answer] : answers_by_route) {
    Fixture fixture;
    fixture.add_worker(7);
    fixture.add_request(1, route).attempts = {make_attempt(true, true)};
    fixture.balancer.on_timer(900ms);
    CHECK(fixture.effects.actions == std::vector<std::string>{answer, "cancel 1"});
    fixture.balancer.on_attempt_end(901ms, {1, 0, 7, Outcome::cancelled, 800ms, true, 0});
    fixture.balancer.on_client_disconnect(902ms, 1);
    CHECK(fixture.effects.actions.size() == 2);
  }
}

// Guards against rejecting client retries as late although they can still meet the latency objective. A
// client retry may have more time left than the request had when it was first sent, so the time left alone
// does not show when that was.
TEST_CASE("a client retry is rejected as late only if the latency objective has passed") {
  Fixture fixture;
  fixture.add_worker(1);
  const auto action_on_arrival = [&](RequestId id, Duration time_left, bool is_retry) {
    fixture.balancer.on_request(0s, {id, "c", 0, 0, 1, 0, 3, time_left, is_retry});
    return fixture.last_action();
  };
  CHECK(action_on_arrival(1, 2s, false) == "send 1 to 1");
  CHECK(action_on_arrival(2, 2900ms, true) == "send 2 to 1");
  CHECK(action_on_arrival(3, 2s, true) == "send 3 to 1");
  CHECK(action_on_arrival(4, 1900ms, true) == "reject 4");
}

TEST_CASE("on_deadline_shortened() moves a deadline to an earlier time but never to a later one") {
  Fixture fixture;
  fixture.add_worker(1);
  RequestTable& requests = fixture.modules.requests();
  fixture.arrive(1, 1, 3);
  CHECK(fixture.last_action() == "send 1 to 1");
  const Duration deadline = requests.at(1).deadline;
  fixture.balancer.on_deadline_shortened(1ms, 1, 5s);
  CHECK(requests.at(1).deadline == deadline);
  fixture.balancer.on_deadline_shortened(1ms, 1, 101ms);
  fixture.balancer.on_timer(95ms);
  CHECK(fixture.last_action() == "send 1 to 1");
  fixture.balancer.on_timer(96ms);  // 102 ms minus three ticks of 2 ms for the answer to reach the client
  CHECK(fixture.last_action() == "cancel 1");
  CHECK(requests.empty());
  CHECK(requests.earliest_deadline() == Duration::max());
  fixture.balancer.on_deadline_shortened(97ms, 1, 1s);  // the request has already been answered
  CHECK(requests.earliest_deadline() == Duration::max());
}

}  // namespace
}  // namespace ironquay
