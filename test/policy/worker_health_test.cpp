// Tests of how the outcomes of attempts change the limits of workers and the load shed.
#include <catch2/catch.hpp>

#include "support.hpp"

namespace ironquay {
namespace {

TEST_CASE("a malformed response does not lower the concurrency limit, but three in a row eject the worker") {
  Fixture fixture;
  Worker& worker = fixture.add_worker(1);
  const Request& request = fixture.add_request(1, 0);
  AttemptObserver& observer = fixture.modules.observer();
  for (int i = 0; i < 3; ++i) {
    CHECK(worker.concurrency_limit == 4);
    observer.record(worker, request, Outcome::malformed_response, 100ms, 500ms);
    observer.record(worker, request, Outcome::invalid_request, 100ms, 500ms);
  }
  CHECK(worker.concurrency_limit == Approx(0.125));
}

// Guards against a lasting overload of the fleet: hundreds of gateways with one attempt in flight at each
// worker overload it, although no gateway exceeds its limit at any worker.
TEST_CASE("slow responses lower the admitted share; lost responses among fast ones do not") {
  Fixture lossy;
  Fixture overloaded;
  Worker& lossy_worker = lossy.add_worker(1);
  Worker& overloaded_worker = overloaded.add_worker(1);
  const Request& request = lossy.add_request(1, 0);
  lossy.modules.route_statistics(0).set_mean_units_for_testing(1);
  overloaded.modules.route_statistics(0).set_mean_units_for_testing(1);
  for (int i = 0; i < 300; ++i) {
    const Outcome outcome = i % 3 == 0 ? Outcome::timed_out : Outcome::success;
    lossy.modules.observer().record(lossy_worker, request, outcome, 50ms, 800ms);
    overloaded.modules.observer().record(overloaded_worker, request, Outcome::success, 700ms, 800ms);
  }
  CHECK(lossy.modules.overload().admitted_share() > 0.9);
  CHECK(overloaded.modules.overload().admitted_share() < 0.1);
}

// Guards against gateways, such as ten of them, that keep a failing worker overloaded although each of them
// has only one attempt in flight at it: with a limit below one, a gateway must wait between attempts.
TEST_CASE("three failures in a row eject a worker, and the gateway then waits between attempts at it") {
  Fixture fixture;
  Worker& worker = fixture.add_worker(1);
  const Request& request = fixture.add_request(1, 0);
  for (int i = 1; i <= 3; ++i) {
    fixture.modules.observer().record(worker, request, Outcome::timed_out, 200ms, i * 200ms);
  }
  CHECK(worker.concurrency_limit <= 1.0 / 8);
  CHECK_FALSE(fixture.modules.selector().can_send_to(request, 1, 650ms));
  CHECK(fixture.modules.selector().can_send_to(request, 1, 30s));
}

// Guards against reducing the limits of healthy workers because requests of many units take long.
TEST_CASE("the longer latency of a request with more units does not lower the concurrency limit") {
  Fixture fixture;
  Worker& worker = fixture.add_worker(1);
  fixture.modules.route_statistics(0).set_mean_units_for_testing(1);
  Request& request = fixture.add_request(1, 0);
  request.units = 4;
  fixture.modules.observer().record(worker, request, Outcome::success, 800ms, 800ms);
  CHECK(worker.concurrency_limit >= 4);
  request.units = 1;
  fixture.modules.observer().record(worker, request, Outcome::success, 800ms, 800ms);
  CHECK(worker.concurrency_limit < 4);
}

// Guards against a gateway that, after its process was suspended for seconds, counts all its attempts in
// flight as time-outs of their workers.
TEST_CASE("attempts that were in flight while the process was suspended do not lower concurrency limits") {
  Fixture fixture;
  Worker& worker = fixture.add_worker(1);
  const Request& request = fixture.add_request(1, 0);
  fixture.modules.requests().set_deadline(1, 10s);
  fixture.modules.set_timer(1s);
  fixture.balancer.on_gossip(3s, 1, "");
  fixture.modules.observer().record(worker, request, Outcome::timed_out, 2900ms, 3s);
  CHECK(worker.concurrency_limit == 4);
  fixture.balancer.on_timer(3s);
  fixture.balancer.on_gossip(4s, 1, "");
  fixture.modules.observer().record(worker, request, Outcome::timed_out, 900ms, 4s);
  CHECK(worker.concurrency_limit < 4);
}

}  // namespace
}  // namespace ironquay
