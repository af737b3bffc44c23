#include "policy/slow_start.hpp"

#include <catch2/catch.hpp>
#include <cmath>

#include "support.hpp"

namespace ironquay {
namespace {

const SharedClock kClock{};

TEST_CASE("the minimum slow-start rate is divided among the gateways, however many there are") {
  for (const int gateways : {8, 300}) {
    PolicySettings settings = default_settings();
    settings.gateway_count = gateways;
    const SlowStart slow_start(settings, kClock);
    Worker worker;
    worker.started_at = 1us;
    slow_start.refill_budget(worker, true, {0, 1, 1, 0}, 500ms);
    CHECK(worker.slow_start_budget * gateways <= 4 * 0.5);
    CHECK(worker.slow_start_budget > 0);
  }
}

TEST_CASE("all gateways together keep to a warming worker's limit in every overload window") {
  // There are 300 gateways and 200 workers. Each gateway has a subset of 16 workers, so the subsets of 24
  // gateways contain the warming worker. Each gateway sends 10 attempts per second to warm workers.
  PolicySettings settings = default_settings();
  settings.gateway_count = 300;
  const SlowStart slow_start(settings, kClock);
  const double window_seconds = 1;
  const double warm_rate = 20;  // upper bound of the attempts per second to one warm worker
  const int subsets_with_worker = 300 * 16 / 200;
  const SlowStartInputs inputs{12 * warm_rate / subsets_with_worker, 16, 200, 200};
  for (const double age : {0.5, 1.0, 2.0, 5.0, 9.0}) {
    double max_attempts = 0;
    double attempt_limit = 0;
    for (int gateway = 0; gateway < 300; ++gateway) {
      Worker worker;
      worker.started_at = worker.budget_updated_at = 1us;
      for (Duration now = 0s; now <= std::chrono::duration<double>(age); now += 100ms) {
        slow_start.refill_budget(worker, gateway < subsets_with_worker, inputs, now);
      }
      const double capacity_share = 0.2 + 0.8 * age / 10;
      // Within one window the gateway can spend the accumulated budget and the refill during that window.
      const double budget = worker.slow_start_budget;
      max_attempts +=
          budget < 1 ? 0 : budget + capacity_share * warm_rate / subsets_with_worker * window_seconds;
      attempt_limit = 4 * capacity_share * warm_rate * window_seconds;
    }
    CHECK(max_attempts <= attempt_limit + 3 * std::sqrt(attempt_limit) + 3);
  }
}

TEST_CASE("the budget of a warming worker outside the subset refills at the minimum rate only") {
  for (const bool in_subset : {true, false}) {
    PolicySettings settings = default_settings();
    settings.gateway_count = 300;
    Fixture fixture(settings);
    const WorkerId warming = in_subset ? 2 : 60;
    for (WorkerId id = 1; id <= 60; ++id) fixture.add_worker(id);
    fixture.add_worker(warming, WorkerStatus::ready, 1us);
    REQUIRE(fixture.modules.workers().warm_count() == 59);
    // No attempt can be sent to the other workers, so every draw that contains the warming worker checks it.
    for (WorkerId id = 1; id <= 60; ++id) {
      if (id != warming) fixture.modules.workers().at(id).status = WorkerStatus::draining;
    }
    for (RequestId id = 1; id < 60; ++id) {
      fixture.modules.subset().set_send_rate_for_testing(4, id * 100ms);
      fixture.arrive(id, 1, 3, false, id * 100ms);
    }
    CHECK((fixture.modules.workers().at(warming).in_flight > 0) == in_subset);
  }
}

TEST_CASE("an attempt is sent to a warming worker only within its budget and in this gateway's time slot") {
  const PolicySettings settings = default_settings();
  const SlowStart slow_start(settings, kClock);
  Worker worker;
  worker.started_at = 1us;
  worker.slow_start_budget = 1;
  CHECK(slow_start.may_send(worker, 10ms));
  worker.slow_start_budget = 0.9;
  CHECK_FALSE(slow_start.may_send(worker, 10ms));
  worker.slow_start_budget = 1;
  CHECK_FALSE(slow_start.may_send(worker, 400ms));
}

// Guards against starving new workers during a long release: if time slots applied during the whole warm-up,
// each gateway could use a new worker only during its own slot, which is a ninth of the time with nine
// gateways.
TEST_CASE("after its first overload windows a warming worker may be used outside the time slot") {
  Fixture fixture;
  Worker& worker = fixture.add_worker(1, WorkerStatus::ready, 1us);
  worker.slow_start_budget = 1;
  const Request& request = fixture.add_request(1, 0);
  CHECK_FALSE(fixture.modules.selector().can_send_to(request, 1, 1400ms));
  CHECK(fixture.modules.selector().can_send_to(request, 1, 2400ms));
}

}  // namespace
}  // namespace ironquay
