// Tests of the shared pool on the counter: taking and returning units, removing what a pool holds over its
// burst, and the behaviour of a gateway while the counter is slow, does not reply or is unavailable.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support.hpp"

namespace ironquay {
namespace {

// A count in units at which every pool of the fixture is exhausted.
constexpr double kExhaustedTotal = 1e5;

// Guards against rejections below quota in large deployments: with hundreds of gateways, a slice's part of
// the burst is smaller than one request, so the units must come from the pool.
TEST_CASE(
    "a request that its slice does not cover waits for the counter and is admitted if the pool holds its "
    "units") {
  struct Row {
    Outcome outcome;
    double total;
    std::string expected_action;
  };
  const Row rows[] = {{Outcome::success, 4, "send 1 to 1"},
                      {Outcome::success, kExhaustedTotal, "reject 1"},
                      {Outcome::timed_out, 0, "reject 1"}};
  for (const Row& row : rows) {
    Fixture fixture;
    fixture.add_worker(1);
    fixture.slice(300).tokens = 0;
    fixture.arrive(1, 4, 300);
    CHECK(fixture.effects.actions.empty());
    REQUIRE(fixture.effects.counter_amounts.at(0) == Approx(4));
    fixture.balancer.on_counter_reply(0s, {fixture.effects.counter_name, row.outcome, row.total});
    CHECK(fixture.effects.actions == std::vector<std::string>{row.expected_action});
    CHECK(fixture.slice(300).tokens == Approx(0).margin(1e-9));
    if (row.total > 1000) CHECK(fixture.effects.counter_amounts.back() == Approx(-4));
  }
}

// Guards against gateways that each trim the whole excess near the start of a period and so leave the pool
// empty.
TEST_CASE("only the first gateway that takes from a pool trims the whole excess over the burst") {
  Fixture fixture;
  QuotaSlice& slice = fixture.slice(30);
  const double burst = slice.pooled_share * 60;
  const auto trimmed_units = [&](double total) {
    fixture.effects.counter_amounts.clear();
    fixture.pool_access.reply_to_take("c", 4, total, 0, 20s);
    return fixture.effects.counter_amounts.empty() ? 0 : fixture.effects.counter_amounts[0];
  };
  const double excess = trimmed_units(4);
  CHECK(excess > burst);
  CHECK(trimmed_units(4.0009) > burst);  // still the first take: the counter may round totals to thousandths
  double max_trimmed = 0;
  for (int i = 0; i < 100; ++i) max_trimmed = std::max(max_trimmed, trimmed_units(4.1));
  CHECK(max_trimmed == Approx(burst));
}

TEST_CASE("a take returns at most the units it took, even if its request no longer needs them") {
  Fixture fixture;
  fixture.add_request(1, 0).units = 1;
  double min_amount = 0;  // the largest return has the most negative amount
  for (int total = 0; total < 2000; ++total) {
    fixture.slice(3).tokens = 9;
    fixture.pool_access.reply_to_take("c", 4, total, 0, 0s);
    if (!fixture.effects.counter_amounts.empty()) {
      min_amount = std::min(min_amount, fixture.effects.counter_amounts.back());
    }
  }
  CHECK(min_amount == Approx(-4));
}

// Guards against two faults after a reply with a malformed total: a take from an exhausted pool was never
// returned, and the gateway stopped calling the counter as if it were unavailable.
TEST_CASE("a take with an unknown total succeeds, but is returned if the pool is known to be exhausted") {
  Fixture announcer;
  announcer.slice(2).first_gateway = 2;
  announcer.pool_access.reply_to_take("c", 4, kExhaustedTotal, 0, 0s);
  const std::string message = announcer.effects.gossip.at(0).second;
  for (const bool exhausted : {false, true}) {
    Fixture fixture;
    fixture.slice(2).tokens = 0;
    if (exhausted) fixture.balancer.on_gossip(0s, 1, message);
    fixture.arrive(1, 4, 2);
    const double taken_units = fixture.effects.counter_amounts.back();
    fixture.add_worker(1);
    fixture.balancer.on_counter_reply(0s, {fixture.effects.counter_name, Outcome::connection_lost, 0});
    CHECK(fixture.effects.actions == std::vector<std::string>{exhausted ? "reject 1" : "send 1 to 1"});
    CHECK(fixture.effects.counter_amounts.back() == Approx(exhausted ? -taken_units : taken_units));
    CHECK(fixture.quota_access.counter_health().unavailable_until() <= 0s);
  }
}

// Guards against takes from an exhausted pool that include the units of one second of demand: when the
// counter reset the connection, the return of these units was lost, and the requests of a customer with high
// demand were rejected for seconds.
TEST_CASE("a request takes only its own units from a pool that is known to be exhausted") {
  Fixture fixture;
  QuotaSlice& slice = fixture.slice(2);
  slice.tokens = 0;
  slice.demand_rate = 50;
  fixture.arrive(1, 4, 2);
  CHECK(fixture.effects.counter_amounts.back() > 50);
  fixture.pool_access.reply_to_take("c", 54, kExhaustedTotal, 4, 0s);
  slice.earliest_take = 0s;
  fixture.arrive(2, 4, 2);
  CHECK(fixture.effects.counter_amounts.back() == Approx(4));
}

TEST_CASE(
    "an exhausted pool is announced to the customer's gateways, which then admit nothing without the "
    "counter") {
  Fixture announcer;
  announcer.add_worker(1);
  QuotaSlice& slice = announcer.slice(2);
  slice.first_gateway = 2;
  slice.tokens = 0;
  announcer.pool_access.reply_to_take("c", 4, kExhaustedTotal, 0, 0s);
  REQUIRE(announcer.effects.gossip.size() == 1);
  CHECK(announcer.effects.gossip[0].first == 2);
  Fixture receiver;
  receiver.add_worker(1);
  receiver.quota_access.counter_health().set_call_share_for_testing(1e-9);
  receiver.slice(2).tokens = 0;
  receiver.balancer.on_gossip(0s, 1, "no number");
  receiver.arrive(1, 1, 2);
  receiver.balancer.on_gossip(0s, 1, announcer.effects.gossip[0].second);
  receiver.arrive(2, 1, 2);
  CHECK(receiver.effects.actions == std::vector<std::string>{"send 1 to 1", "reject 2"});
}

// Guards against oversized takes: while few requests called the counter, a single take of 20 times the pool's
// burst left the customer's requests rejected for a whole period.
TEST_CASE("a take that also covers uncounted requests is limited to the pool's burst") {
  Fixture fixture;
  QuotaSlice& slice = fixture.slice(3);
  slice.tokens = 0;
  fixture.quota_access.counter_health().set_call_share_for_testing(0.9);
  fixture.pool_access.set_mean_request_units(400);
  for (RequestId id = 1; fixture.effects.counter_amounts.empty() && id < 1000; ++id) {
    fixture.arrive(id, 4, 3, true);
    slice.tokens = 0;
    slice.uncounted_units = 99;
    fixture.arrive(1000 + id, 4, 3);
  }
  REQUIRE_FALSE(fixture.effects.counter_amounts.empty());
  CHECK(fixture.effects.counter_amounts[0] == Approx(slice.pooled_share * 60));
}

TEST_CASE(
    "requests are admitted without the counter up to a quarter of the burst since the last take; client "
    "retries are not") {
  Fixture fixture;
  for (WorkerId id = 1; id < 20; ++id) fixture.add_worker(id);
  fixture.quota_access.counter_health().set_call_share_for_testing(1e-9);
  fixture.slice(300).tokens = 0;
  for (RequestId id = 1; id < 8; ++id) fixture.arrive(id, 4, 300);
  const auto sent = std::count_if(fixture.effects.actions.begin(), fixture.effects.actions.end(),
                                  [](const std::string& action) { return action[0] == 's'; });
  CHECK(sent == 4);
  fixture.slice(300).tokens = 0;
  fixture.arrive(9, 4, 300, true);
  CHECK(fixture.last_action() == "reject 9");
}

TEST_CASE(
    "the share of requests that call the counter decreases after slow or missing replies and recovers after "
    "replies in time") {
  Fixture fixture;
  fixture.slice(3);
  CounterHealth& counter = fixture.quota_access.counter_health();
  Duration now = 0s;
  const auto reply = [&](Duration elapsed, Outcome outcome) {
    fixture.pool_access.add_pending_contribution("c:0", "c", now);
    fixture.balancer.on_counter_reply(now + elapsed, {"c:0", outcome, 0});
  };
  reply(40ms, Outcome::success);
  CHECK(counter.call_share() == Approx(0.9));
  now = 100ms;
  reply(50ms, Outcome::timed_out);
  CHECK(counter.call_share() == Approx(0.63));
  reply(51ms, Outcome::timed_out);  // sent before the previous result
  CHECK(counter.call_share() == Approx(0.63));
  CHECK(counter.backoff() == 250ms);
  for (int i = 0; i < 30; ++i) reply(1ms, Outcome::success);
  CHECK(counter.call_share() == 1);
}

}  // namespace
}  // namespace ironquay
