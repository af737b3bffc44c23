#include "policy/slow_start.hpp"

#include <catch2/catch.hpp>
#include <cmath>

#include "support.hpp"

namespace ironquay {
namespace {

TEST_CASE("a warming worker's minimum rate is shared by all gateways, whatever their number") {
  for (const int gateways : {8, 300}) {
    PolicySettings settings = default_settings();
    settings.gateway_count = gateways;
    const SlowStart slow_start(settings);
    Worker worker;
    worker.started_at = 1us;
    slow_start.accrue_budget(worker, true, {0, 1, 1, 0}, 500ms);
    CHECK(worker.slow_start_budget * gateways <= 4 * 0.5);
    CHECK(worker.slow_start_budget > 0);
  }
}

TEST_CASE("all gateways together send a warming worker no more than its limit in any window") {
  // Of 300, those whose subsets hold it: sixteen of 200 workers each, forty attempts per second to each warm
  // worker.
  PolicySettings settings = default_settings();
  settings.gateway_count = 300;
  const SlowStart slow_start(settings);
  const double window = 1;
  const double warm_rate = 20;
  const int subsets = 300 * 16 / 200;
  const SlowStartLoad load{12 * warm_rate / subsets, 16, 200, 200};
  for (const double age : {0.5, 1.0, 2.0, 5.0, 9.0}) {
    double most = 0;
    double allowed = 0;
    for (int gateway = 0; gateway < 300; ++gateway) {
      Worker worker;
      worker.started_at = worker.budget_updated_at = 1us;
      for (Duration now = 0s; now <= std::chrono::duration<double>(age); now += 100ms) {
        slow_start.accrue_budget(worker, gateway < subsets, load, now);
      }
      const double warm = 0.2 + 0.8 * age / 10;
      // What it has saved up is spent, and what accrues meanwhile.
      const double budget = worker.slow_start_budget;
      most += budget < 1 ? 0 : budget + warm * warm_rate / subsets * window;
      allowed = 4 * warm * warm_rate * window;
    }
    CHECK(most <= allowed + 3 * std::sqrt(allowed) + 3);
  }
}

TEST_CASE("a warming worker outside the subset does not save up at the subset's rate") {
  for (const bool in_subset : {true, false}) {
    PolicySettings settings = default_settings();
    settings.gateway_count = 300;
    Fixture fixture(settings);
    const WorkerId warming = in_subset ? 2 : 60;
    for (WorkerId id = 1; id <= 60; ++id) fixture.add_worker(id);
    fixture.add_worker(warming, WorkerStatus::ready, 1us);
    REQUIRE(fixture.modules.workers().warm_count() == 59);
    // All others are full, so that every draw looks at the warming one.
    for (WorkerId id = 1; id <= 60; ++id) {
      if (id != warming) fixture.modules.workers().at(id).status = WorkerStatus::draining;
    }
    for (RequestId id = 1; id < 60; ++id) {
      fixture.modules.subset().set_send_rate(4, id * 100ms);
      fixture.arrive(id, 1, 3, false, id * 100ms);
    }
    CHECK((fixture.modules.workers().at(warming).in_flight > 0) == in_subset);
  }
}

TEST_CASE("a warming worker is sent to only within its budget, in this gateway's turn") {
  const PolicySettings settings = default_settings();
  const SlowStart slow_start(settings);
  Worker worker;
  worker.started_at = 1us;
  worker.slow_start_budget = 1;
  CHECK(slow_start.may_send(worker, 10ms));
  worker.slow_start_budget = 0.9;
  CHECK_FALSE(slow_start.may_send(worker, 10ms));
  worker.slow_start_budget = 1;
  CHECK_FALSE(slow_start.may_send(worker, 400ms));
}

// Incident on rating-laval: through a release of the workers new ones got ever less, in one turn of nine.
TEST_CASE("past its first windows a warming worker is open to every gateway within its budget") {
  Fixture fixture;
  Worker& worker = fixture.add_worker(1, WorkerStatus::ready, 1us);
  worker.slow_start_budget = 1;
  const Request& request = fixture.add_request(1, 0);
  CHECK_FALSE(fixture.modules.selector().can_send_to(request, 1, 1400ms));
  CHECK(fixture.modules.selector().can_send_to(request, 1, 2400ms));
}

}  // namespace
}  // namespace ironquay
