// Tests of quota slices: what a gateway admits without the pool, and the surplus that it contributes to the
// pool.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support.hpp"

namespace ironquay {
namespace {

TEST_CASE(
    "slices and the pool sum to the quota at any gateway spread, and less is pooled if slices are large") {
  double previous_pooled_share = 0;
  for (const int gateway_spread : {2, 3, 10, 100, 300}) {
    Fixture fixture;
    QuotaSlice& slice = fixture.slice(gateway_spread);
    CHECK(slice.pooled_share > previous_pooled_share);
    CHECK(slice.pooled_share < 1);
    previous_pooled_share = slice.pooled_share;
    CHECK(slice.tokens * gateway_spread + slice.pooled_share * 60 == Approx(60));
    slice.tokens = 0;
    slice.peak_request_units = 0;
    fixture.modules.quota().slices().refill(slice, 100ms);
    CHECK(slice.tokens * gateway_spread + slice.pooled_share * 30 * 0.1 == Approx(30 * 0.1));
  }
}

TEST_CASE("while the counter is unavailable the whole quota flows into the slices") {
  Fixture fixture;
  QuotaSlice& slice = fixture.slice(3);
  slice.tokens = 0;
  fixture.quota_access.counter_health().record(Outcome::timed_out, 0s, 0s);
  fixture.modules.quota().slices().refill(slice, 100ms);
  CHECK(slice.tokens == Approx(1));
}

TEST_CASE("a contributed surplus returns to the slice only if the counter cannot have added it") {
  for (const Outcome outcome : {Outcome::success, Outcome::rejected, Outcome::timed_out}) {
    Fixture fixture;
    QuotaSlice& slice = fixture.slice(2);
    slice.tokens = 20;
    slice.rate = 30;
    fixture.modules.quota().pool().contribute_surplus("c", slice, 0s);
    REQUIRE(fixture.effects.counter_amounts.size() == 1);
    CHECK(fixture.effects.counter_amounts[0] == Approx(slice.tokens - 20));
    fixture.balancer.on_counter_reply(0s, {fixture.effects.counter_name, outcome, 0});
    CHECK(slice.tokens - fixture.effects.counter_amounts[0] * (outcome != Outcome::rejected) == Approx(20));
    slice.demand_rate = 1000;
    fixture.modules.quota().pool().contribute_surplus("c", slice, 0s);
    CHECK(fixture.effects.counter_amounts.size() == 1);
  }
}

TEST_CASE("without a pool a slice with any tokens admits one request, and the next one is rejected") {
  PolicySettings settings = default_settings();
  settings.capabilities.counter = false;
  Fixture fixture(settings);
  fixture.add_worker(1);
  fixture.slice(3).tokens = 0.5;
  fixture.arrive(1, 4, 3);
  fixture.arrive(2, 1, 3);
  CHECK(fixture.effects.actions == std::vector<std::string>{"send 1 to 1", "reject 2"});
  CHECK(fixture.slice(3).tokens == Approx(-3.5));
}

TEST_CASE("reported actual units are charged to the slice, even if its tokens become negative") {
  PolicySettings settings = default_settings();
  settings.reports_actual_units = true;
  Fixture fixture(settings);
  fixture.add_worker(7);
  Request& request = fixture.add_request(1, 0);
  request.attempts = {make_attempt(true, true)};
  fixture.slice(3).tokens = 1;
  fixture.balancer.on_attempt_end(100ms, {1, 0, 7, Outcome::success, 100ms, true, 8});
  CHECK(fixture.slice(3).tokens == Approx(-6));
}

TEST_CASE("a restarted gateway starts without ceiling tokens") {
  Fixture fixture;
  fixture.add_worker(1);
  fixture.balancer.on_request(0s, {1, "c", 0, 1, 1, 0, 3, 3s, false});
  CHECK(fixture.effects.actions == std::vector<std::string>{"reject 1"});
  fixture.balancer.on_request(100ms, {2, "c", 0, 1, 1, 0, 3, 3s, false});
  CHECK(fixture.last_action() == "send 2 to 1");
  CHECK(fixture.modules.quota().find_or_create_slice("c", 1, 3, 100ms).ceiling_tokens == Approx(1));
}

TEST_CASE("the gateways share a plan's limit on concurrent attempts, and each attempt counts until it ends") {
  PolicySettings settings = default_settings();
  settings.plans[0].max_concurrent = 3;
  Fixture fixture(settings);
  fixture.add_worker(1);
  fixture.arrive(1, 1, 3);
  fixture.arrive(2, 1, 3);
  CHECK(fixture.last_action() == "reject 2");
  fixture.balancer.on_attempt_end(1ms, {1, 0, 1, Outcome::success, 1ms, true, 0});
  fixture.arrive(3, 1, 3, false, 1ms);
  CHECK(fixture.last_action() == "send 3 to 1");
}

}  // namespace
}  // namespace ironquay
