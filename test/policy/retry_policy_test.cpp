#include "policy/retry_policy.hpp"

#include <catch2/catch.hpp>

#include "support.hpp"

namespace ironquay {
namespace {

TEST_CASE("the allowed actions depend on the idempotency of the route and the state of the attempt") {
  struct Row {
    std::size_t route;
    bool in_flight, may_have_executed, send, reject, has_repeated_attempt;
  };
  const Row rows[] = {{0, false, true, true, true, false},  {0, true, true, false, true, false},
                      {1, false, false, true, true, false}, {1, false, true, true, false, true},
                      {1, true, true, false, false, true},  {2, false, false, true, true, false},
                      {2, false, true, false, false, false}};
  const PolicySettings settings = default_settings();
  const RetryPolicy policy(settings);
  for (const Row& row : rows) {
    Request request;
    request.route = row.route;
    request.attempts = {make_attempt(row.in_flight, row.may_have_executed)};
    const AllowedActions allowed = policy.allowed_actions(request, 200ms);
    CAPTURE(row.route, row.in_flight, row.may_have_executed);
    CHECK(allowed.send == row.send);
    CHECK(allowed.reject == row.reject);
    CHECK((allowed.repeated_attempt != nullptr) == row.has_repeated_attempt);
  }
}

TEST_CASE("a hedged request is not sent on a non-idempotent route, and the number of attempts is limited") {
  PolicySettings settings = default_settings();
  settings.capabilities.hedging = true;
  const RetryPolicy policy(settings);
  Request request;
  request.attempts = {make_attempt(true, true)};
  CHECK(policy.allowed_actions(request, 0s).send);
  request.route = 2;
  CHECK_FALSE(policy.allowed_actions(request, 0s).send);
  request.route = 0;
  request.attempts.assign(6, make_attempt(false, true));
  CHECK_FALSE(policy.allowed_actions(request, 0s).send);
}

// Guards against executing a keyed request twice: a worker does not discard a retry that was queued until the
// deduplication window had ended.
TEST_CASE("a keyed request is retried only in its deduplication scope and window") {
  Fixture fixture;
  fixture.add_worker(1).cell = 3;
  fixture.add_worker(2).cell = 4;
  Request& request = fixture.add_request(1, 1);
  request.attempts = {make_attempt(false, true)};
  const WorkerSelector& selector = fixture.modules.selector();
  CHECK(selector.can_send_to(request, 1, 200ms));
  CHECK_FALSE(selector.can_send_to(request, 2, 200ms));
  CHECK_FALSE(selector.can_send_to(request, 1, 100ms + 4s));
}

// Guards against writing an attempt that is no longer allowed: an attempt that waits for its connection may
// be written up to 1.5 s after the decision to send it.
TEST_CASE("an attempt that waited for a connection is sent only if it is still allowed") {
  Fixture fixture;
  Worker& worker = fixture.add_worker(1);
  const auto may_send = [&](Duration now, RequestId id, std::size_t attempt) {
    return fixture.balancer.may_send_attempt(now, id, attempt);
  };
  for (const RequestId id : {1, 2, 3}) {
    // The routes are idempotent, keyed with a deduplication window of 4 s, and non-idempotent.
    Request& request = fixture.add_request(id, id - 1);
    request.attempts.push_back({1, {}, 0, 0s, false, true});
    request.attempts.push_back({1, {}, 0, 1s, true, true});
  }
  CHECK(may_send(5s, 1, 1));
  CHECK(may_send(3985ms, 2, 1));
  CHECK_FALSE(may_send(3986ms, 2, 1));  // two ticks of 2 ms and 10 ms before the window ends
  CHECK_FALSE(may_send(1s, 3, 1));
  CHECK(may_send(9s, 3, 0));  // the first attempt cannot repeat another one
  fixture.modules.requests().at(3).attempts[0].may_have_executed = false;
  CHECK(may_send(9s, 3, 1));
  CHECK_FALSE(may_send(1s, 1, 2));  // no such attempt
  CHECK_FALSE(may_send(1s, 9, 0));  // no such request, as after a client disconnect
  worker.status = WorkerStatus::draining;
  CHECK_FALSE(may_send(1s, 1, 1));
  worker.status = WorkerStatus::ready;
  worker.started_at = 500ms;  // it warms up for 10 s; the overload window is 1 s
  CHECK(may_send(1250ms, 1, 1));
  CHECK_FALSE(may_send(1251ms, 1, 1));
  CHECK(may_send(10500ms, 1, 1));
}

TEST_CASE("an attempt is not sent to a worker that has been removed from the endpoint list") {
  Fixture fixture;
  fixture.add_worker(1);
  fixture.add_request(1, 0).attempts.push_back({1, {}, 0, 1s, true, true});
  CHECK(fixture.balancer.may_send_attempt(1s, 1, 0));
  fixture.balancer.on_endpoint_list_begin(1s, EndpointListKind::full);
  fixture.balancer.on_endpoint_list_end(1s);
  CHECK_FALSE(fixture.balancer.knows_worker(1));
  CHECK_FALSE(fixture.balancer.may_send_attempt(1s, 1, 0));
}

}  // namespace
}  // namespace ironquay
