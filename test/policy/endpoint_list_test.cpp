// Tests of how endpoint lists change the set of workers, and of the gateway's worker subset.
#include <catch2/catch.hpp>

#include "support.hpp"

namespace ironquay {
namespace {

TEST_CASE("a worker that is draining, or absent from a full endpoint list, receives no new attempts") {
  Fixture fixture;
  for (const WorkerId id : {1, 2, 3}) fixture.add_worker(id);
  const Request& request = fixture.add_request(1, 0);
  const WorkerSelector& selector = fixture.modules.selector();
  fixture.balancer.on_endpoint_list_begin(0s, EndpointListKind::delta);
  fixture.balancer.on_endpoint(0s, {1, WorkerStatus::draining, "z", 0, 1, 0s});
  CHECK_FALSE(selector.can_send_to(request, 1, 0s));
  fixture.balancer.on_endpoint_list_end(0s);
  CHECK(selector.can_send_to(request, 2, 0s));
  fixture.balancer.on_endpoint_list_begin(0s, EndpointListKind::full);
  fixture.balancer.on_endpoint(0s, {3, WorkerStatus::ready, "z", 0, 1, 0s});
  fixture.balancer.on_endpoint_list_end(0s);
  CHECK(fixture.modules.workers().ready() == std::vector<WorkerId>{3});
}

TEST_CASE("workers that are gone and customers without recent requests are removed") {
  Fixture fixture;
  for (const WorkerId id : {1, 2}) fixture.add_worker(id);
  WorkerRegistry& workers = fixture.modules.workers();
  workers.attempt_started(workers.at(2));
  fixture.modules.quota().find_or_create_slice("alone", 0, 1, 0s);
  fixture.modules.quota().find_or_create_slice("shared", 0, 3, 0s);
  fixture.balancer.on_endpoint_list_begin(0s, EndpointListKind::full);
  fixture.balancer.on_endpoint_list_end(0s);
  CHECK(workers.size() == 1);  // worker 2 still has an attempt in flight
  CHECK_FALSE(fixture.modules.selector().can_send_to(fixture.add_request(1, 0), 2, 0s));
  fixture.balancer.on_attempt_end(0s, {99, 0, 2, Outcome::connection_lost, 0s, true, 0});
  fixture.balancer.on_endpoint_list_begin(0s, EndpointListKind::delta);
  fixture.balancer.on_endpoint_list_end(0s);
  CHECK(workers.size() == 0);
  for (Duration now = 0s; now < 60s; now += 1s) fixture.balancer.on_timer(now);
  CHECK(fixture.modules.quota().slices().empty());
  CHECK_FALSE(fixture.quota_access.has_rebalances());
}

TEST_CASE("the state of a restarted worker is reset, except for its attempts in flight") {
  Fixture fixture;
  Worker& worker = fixture.add_worker(1);
  worker.in_flight = 2;
  worker.consecutive_failures = 5;
  fixture.balancer.on_endpoint_list_begin(1s, EndpointListKind::delta);
  fixture.balancer.on_endpoint(1s, {1, WorkerStatus::ready, "z", 0, 1, 500ms});
  fixture.balancer.on_endpoint_list_end(1s);
  CHECK(worker.in_flight == 2);
  CHECK(worker.consecutive_failures == 0);
  CHECK(worker.started_at == 500ms);
}

TEST_CASE("after a failed endpoint list the previous list stays in use and the list is requested again") {
  PolicySettings settings = default_settings();
  settings.capabilities.polls_endpoints = true;
  Fixture fixture(settings);
  fixture.add_worker(1);
  fixture.balancer.on_endpoint_list_begin(0s, EndpointListKind::failed);
  fixture.balancer.on_endpoint_list_end(0s);
  CHECK(fixture.modules.workers().ready().size() == 1);
  fixture.effects.actions.clear();
  fixture.balancer.on_timer(1s);
  CHECK(fixture.effects.actions == std::vector<std::string>{"subscribe"});
}

// Guards against hung workers going undetected: with hundreds of gateways that each use all workers, a
// gateway sends an attempt to a given worker only about once in 30 seconds, too rarely to detect that it
// hangs.
TEST_CASE(
    "a gateway among hundreds uses its worker subset, and all workers if none of the subset is usable") {
  PolicySettings settings = default_settings();
  settings.gateway_count = 300;
  settings.gateway_index = 30;
  Fixture fixture(settings);
  for (WorkerId id = 0; id < 100; ++id) fixture.add_worker(id);
  for (RequestId id = 1; id <= 4; ++id) fixture.arrive(id, 1, 2);
  for (const std::string& action : fixture.effects.actions) {
    const int worker = std::stoi(action.substr(action.rfind(' ')));
    CHECK(worker >= 10);
    CHECK(worker < 16);
  }
  CHECK(fixture.effects.actions.size() == 4);
  fixture.effects.actions.clear();
  for (WorkerId id = 10; id < 20; ++id) fixture.modules.workers().at(id).status = WorkerStatus::draining;
  fixture.arrive(5, 1, 2);
  CHECK(fixture.effects.actions.at(0).substr(0, 7) == "send 5 ");
}

TEST_CASE("of two workers listed at one address only the one that started later is ready") {
  constexpr std::uint64_t kAddress = 77;
  Fixture fixture;
  WorkerRegistry& workers = fixture.modules.workers();
  const auto list = [&](WorkerId id, Duration started_at) {
    workers.begin_list(EndpointListKind::delta);
    workers.update({id, WorkerStatus::ready, "", 0, 1, started_at, kAddress}, 9s);
    workers.end_list(9s);
  };
  list(1, 2s);
  list(2, 5s);
  CHECK(workers.ready() == std::vector<WorkerId>{2});
  list(1, 2s);  // an outdated entry
  CHECK(workers.ready() == std::vector<WorkerId>{2});
  list(3, 5s);
  CHECK(workers.ready() == std::vector<WorkerId>{3});
}

TEST_CASE("a worker that returns after it was gone is a new process") {
  Fixture fixture;
  Worker& worker = fixture.add_worker(1);
  fixture.modules.workers().attempt_started(worker);
  worker.consecutive_failures = 9;
  fixture.add_worker(1, WorkerStatus::gone);
  CHECK(fixture.add_worker(1).consecutive_failures == 0);
}

}  // namespace
}  // namespace ironquay
