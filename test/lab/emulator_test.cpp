// Tests of the emulator: its models against closed-form results, its reproducibility, and complete runs with
// faults.
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string>
#include <vector>

#include "lab/emulator/emulated_workers.hpp"
#include "lab/emulator/emulation.hpp"
#include "lab/emulator/event_queue.hpp"
#include "lab/emulator/invariant_checker.hpp"
#include "lab/emulator/token_bucket.hpp"
#include "lab/random_stream.hpp"
#include "policy/duration.hpp"
#include "support.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

// An M/M/c queue: Poisson arrivals, exponentially distributed work and `cores` servers.
struct Queue {
  int cores = 1;
  double load = 0;       // arrival rate divided by capacity
  double mean_work = 0;  // seconds
  // The arrival rate, in requests per second.
  double arrival_rate() const { return load * cores / mean_work; }
};

// The expected time in the system, in seconds: the waiting time, which is the Erlang C probability of waiting
// divided by the spare capacity, plus the mean work.
double expected_time_in_system(const Queue& queue) {
  const double offered_load = queue.load * queue.cores;
  double term = 1;
  double sum = 0;
  for (int i = 0; i < queue.cores; ++i) {
    sum += term;
    term *= offered_load / (i + 1);
  }
  const double waiting_term = term / (1 - queue.load);
  const double wait_probability = waiting_term / (sum + waiting_term);
  return wait_probability / (queue.cores / queue.mean_work - queue.arrival_rate()) + queue.mean_work;
}

// The mean time in the system, in seconds, that is measured in one run of the emulated workers.
double measured_time_in_system(const Scenario& scenario, const Queue& queue, std::uint32_t seed) {
  EventQueue events;
  InvariantChecker invariants(scenario);
  EmulatedWorkers workers(events, scenario, seed, invariants);
  RandomStream arrivals(seed, "arrivals");
  double total_seconds = 0;
  int requests = 0;
  std::function<void()> arrive = [&] {
    const Duration arrived_at = events.now();
    workers.send(0, 0, 1, [&, arrived_at](Outcome) {
      total_seconds += to_seconds(events.now() - arrived_at);
      ++requests;
    });
    events.schedule_in(from_seconds(arrivals.exponential(1 / queue.arrival_rate())), arrive);
  };
  arrive();
  events.run_until(400s);
  return total_seconds / requests;
}

TEST_CASE("the mean time in a worker is that of an M/M/c queue") {
  constexpr int kSeeds = 20;
  for (const Queue& queue : {Queue{1, 0.5, 0.05}, Queue{3, 0.8, 0.05}}) {
    Scenario scenario = make_scenario("");
    scenario.workers.cores = queue.cores;
    scenario.workers.queue_limit = 1'000'000;
    scenario.network.one_way_latency = 0s;
    std::vector<double> means;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed)
      means.push_back(measured_time_in_system(scenario, queue, seed));
    const double mean = std::accumulate(means.begin(), means.end(), 0.0) / kSeeds;
    double variance = 0;
    for (const double run_mean : means) variance += (run_mean - mean) * (run_mean - mean) / (kSeeds - 1);
    const double standard_error = std::sqrt(variance / kSeeds);
    const double expected = expected_time_in_system(queue);
    // A correct model is within three standard errors with a probability of 99.7%. The seeds are fixed, so
    // the result is always the same.
    CHECK(std::abs(mean - expected) < 3 * standard_error);
    CHECK(standard_error < 0.05 * expected);
  }
}

TEST_CASE("events run in order of their times, and events with the same time in the order of scheduling") {
  EventQueue events;
  std::string order;
  events.schedule_at(2s, [&] { order += "c"; });
  events.schedule_at(1s, [&] {
    order += "a";
    events.schedule_at(0s, [&] { order += "b"; });  // a time in the past, so it runs at the current time
  });
  events.schedule_at(2s, [&] { order += "d"; });
  events.schedule_at(3s, [&] { order += "e"; });
  events.run_until(2s);
  CHECK(order == "abcd");
  CHECK(events.now() == 2s);
  events.run_until(5s);
  CHECK(order == "abcde");
  CHECK(events.now() == 5s);
}

TEST_CASE("a token bucket refills up to its capacity, and try_take() takes the whole amount or nothing") {
  TokenBucket bucket(2, 10, 4, 0s);
  CHECK_FALSE(bucket.try_take(5));
  CHECK(bucket.tokens() == 4);
  bucket.refill(500ms);
  CHECK(bucket.try_take(5));
  CHECK(bucket.tokens() == 0);
  bucket.take(1);
  CHECK(bucket.tokens() == -1);
  bucket.refill(1min);
  CHECK(bucket.tokens() == 10);
}

TEST_CASE("customers are served up to the burst and rate of their quota, and every request has one outcome") {
  const Scenario scenario = make_scenario("[workers]\nmany = 50\n[clients]\nretries = 0\nmost_units = 1\n",
                                          "", "burst = 20\nuse = 4\n");
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    const auto figures = emulate(scenario, seed);
    REQUIRE(figures["broken"].is_null());
    const auto& plan = figures["plans"]["p"];
    // 20 customers, each with a burst of 20 units and a rate of 10 units per second for 4 s.
    const double quota_units = 20 * (20 + 10 * 4);
    CHECK(plan["in_time"] <= 1.05 * quota_units);
    CHECK(plan["in_time"] >= 0.9 * quota_units);
    std::uint64_t ended_requests = 0;
    for (const char* outcome : {"in_time", "late", "rate_limited", "errored", "lost"})
      ended_requests += plan[outcome].get<std::uint64_t>();
    CHECK(plan["asked"] == ended_requests);
    CHECK(figures["routes"]["r"] == plan);
  }
}

TEST_CASE(
    "the same seed gives the same figures, and a change of one model does not change the draws of others") {
  const Scenario scenario =
      make_scenario("[[fault]]\nkind = \"worker-crash\"\nat_ms = 1000\nworkers = [0]\n");
  Scenario changed_scenario = scenario;
  changed_scenario.network.gossip_loss = 0.9;
  changed_scenario.counter.rate = 100;
  CHECK(emulate(scenario, 7).dump() == emulate(scenario, 7).dump());
  CHECK(emulate(scenario, 7).dump() != emulate(scenario, 8).dump());
  CHECK(emulate(scenario, 7)["asked"] == emulate(changed_scenario, 7)["asked"]);
}

TEST_CASE("gateways violate no invariant under any kind of fault") {
  for (const char* kind : {"worker-slow", "worker-hang", "worker-crash", "worker-vanish", "worker-error",
                           "replace", "list-silent", "list-overbooked", "counter-refuse", "counter-silent",
                           "counter-slow", "counter-split", "restart", "burst"}) {
    const Scenario scenario = make_scenario(
        std::string("[clients]\nimpatient = 0.1\n[[fault]]\nkind = \"") + kind +
            "\"\nat_ms = 1000\nlength_ms = 1500\npart = 0.4\nfactor = 3\nempty = true\nplan = \"p\"\n",
        "repeat = \"tokened\"\nrecall_ms = 4000\n", "use = 0.8\nceiling = 12\n");
    const auto figures = emulate(scenario, 3);
    INFO(kind << " " << figures["broken"].dump());
    CHECK(figures["broken"].is_null());
    CHECK(figures["in_time"] > figures["asked"].get<double>() / 3);
    CHECK(figures["in_time"] < figures["asked"]);
  }
}

}  // namespace
}  // namespace ironquay::lab
