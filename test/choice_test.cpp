#include <catch2/catch.hpp>

#include "helpers.hpp"

namespace ironquay {
namespace {

UpstreamTry one_try(bool out, bool may_have_run) {
  UpstreamTry result;
  result.worker = 7;
  result.cell = 3;
  result.sent = 100ms;
  result.out = out;
  result.may_have_run = may_have_run;
  return result;
}

TEST_CASE("what may still be done follows from the route and the tries") {
  struct Row {
    std::size_t route;
    bool out, may_have_run, send, rate_limit, bound;
  };
  const Row rows[] = {{0, false, true, true, true, false},  {0, true, true, false, true, false},
                      {1, false, false, true, true, false}, {1, false, true, true, false, true},
                      {1, true, true, false, false, true},  {2, false, false, true, true, false},
                      {2, false, true, false, false, false}};
  for (const Row& row : rows) {
    Bench bench;
    bench.choice.wakes(200ms);
    ApiCall call;
    call.route = row.route;
    call.tries = {one_try(row.out, row.may_have_run)};
    const Leave leave = bench.choice.leave_for(call);
    CAPTURE(row.route, row.out, row.may_have_run);
    CHECK(leave.send == row.send);
    CHECK(leave.rate_limit == row.rate_limit);
    CHECK((leave.bound_to != nullptr) == row.bound);
  }
}

TEST_CASE("a second copy goes out only where it is permitted, and no more tries than permitted") {
  Terms terms = some_terms();
  terms.permits.second_copy = true;
  Bench bench(terms);
  ApiCall call;
  call.tries = {one_try(true, true)};
  CHECK(bench.choice.leave_for(call).send);
  call.route = 2;
  CHECK_FALSE(bench.choice.leave_for(call).send);
  call.route = 0;
  call.tries.assign(6, one_try(false, true));
  CHECK_FALSE(bench.choice.leave_for(call).send);
}

// Incident on koshi-feed: a further try waited for room until its repeat was no longer recalled.
TEST_CASE("a tokened call is not sent outside its cell, nor once its repeat is no longer recalled") {
  Bench bench;
  bench.worker(1).cell = 3;
  bench.worker(2).cell = 4;
  ApiCall& call = bench.call(1, 1);
  call.tries = {one_try(false, true)};
  bench.choice.wakes(200ms);
  CHECK(bench.choice.may_take(call, 1));
  CHECK_FALSE(bench.choice.may_take(call, 2));
  call.due = 10s;
  bench.choice.state.dues.clear();
  bench.choice.wakes(100ms + 4s);
  CHECK_FALSE(bench.choice.may_take(call, 1));
}

TEST_CASE("whatever is held at its due time gets its one final answer") {
  const std::pair<std::size_t, std::string> rows[] = {{0, "rate-limit 1"}, {1, "error 1"}, {2, "error 1"}};
  for (const auto& [route, answer] : rows) {
    Bench bench;
    bench.worker(7);
    bench.call(1, route).tries = {one_try(true, true)};
    bench.choice.wakes(900ms);
    CHECK(bench.effects.done == std::vector<std::string>{"cancel 1", answer});
    bench.choice.try_ends(901ms, 1, 0, 7, Outcome::cancelled, 800ms, true, 0);
    bench.choice.client_leaves(902ms, 1);
    CHECK(bench.effects.done.size() == 2);
  }
}

TEST_CASE("a swap keeps the sum whatever the counter answers, or loses units, but never makes any") {
  for (const Outcome gift : {Outcome::passed, Outcome::no_room, Outcome::timed_out}) {
    for (const Outcome take : {Outcome::passed, Outcome::no_room, Outcome::timed_out}) {
      Bench giver, taker;
      Slice& from = giver.choice.slice_of("c", 0, 3);
      Slice& to = taker.choice.slice_of("c", 0, 3);
      to.demand = 1000;
      giver.choice.give_surplus("c", from);
      REQUIRE(giver.effects.counted.size() == 1);
      const double given = giver.effects.counted[0];
      const bool added = gift != Outcome::no_room;
      giver.choice.count_ends(0s, giver.effects.counter_name, gift, given);
      taker.choice.take_from_pool("c", to);
      REQUIRE(taker.effects.counted.size() == 1);
      double total = (added ? given : 0) + taker.effects.counted[0];
      taker.choice.count_ends(0s, taker.effects.counter_name, take, take == Outcome::no_room ? given : total);
      if (taker.effects.counted.size() > 1) total += taker.effects.counted[1];
      if (take == Outcome::no_room) total = added ? given : 0;
      giver.choice.read_pool("c", from);
      if (from.given > 0) giver.choice.count_ends(0s, giver.effects.counter_name, Outcome::passed, total);
      CAPTURE(static_cast<int>(gift), static_cast<int>(take));
      const bool sure = gift != Outcome::timed_out && take != Outcome::timed_out;
      if (sure) CHECK(from.rate + to.rate == Approx(20));
      CHECK(from.rate + to.rate <= Approx(20));
      CHECK(from.stored + to.stored <= Approx(40));
    }
  }
}

TEST_CASE("an empty pool gives nothing, and the overdraft is added back") {
  Bench bench;
  Slice& slice = bench.choice.slice_of("c", 0, 3);
  slice.demand = 1000;
  bench.choice.take_from_pool("c", slice);
  const double asked = bench.effects.counted.at(0);
  bench.choice.count_ends(0s, bench.effects.counter_name, Outcome::passed, asked);
  CHECK(bench.effects.counted.at(1) == -asked);
  CHECK(slice.rate == 10);
}

TEST_CASE("a store above nought lets one call in and goes below; then calls are rate-limited at once") {
  Bench bench;
  bench.worker(1);
  bench.choice.slice_of("c", 0, 3).stored = 0.5;
  bench.choice.call_arrives(0s, 1, "c", 0, 0, 4, 0, 3, 3s, false);
  bench.choice.call_arrives(0s, 2, "c", 0, 0, 1, 0, 3, 3s, false);
  CHECK(bench.effects.done == std::vector<std::string>{"send 1 to 1", "rate-limit 2"});
  CHECK(bench.choice.slice_of("c", 0, 3).stored == Approx(-3.5));
}

TEST_CASE("settled units correct the store, below nought if need be") {
  Terms terms = some_terms();
  terms.units_settle = true;
  Bench bench(terms);
  bench.worker(7);
  ApiCall& call = bench.call(1, 0);
  call.tries = {one_try(true, true)};
  bench.choice.slice_of("c", 0, 3).stored = 1;
  bench.choice.try_ends(100ms, 1, 0, 7, Outcome::passed, 100ms, true, 8);
  CHECK(bench.choice.slice_of("c", 0, 3).stored == Approx(-6));
}

TEST_CASE("a gatekeeper that starts anew finds its ceiling store empty") {
  Bench bench;
  bench.worker(1);
  bench.choice.call_arrives(0s, 1, "c", 0, 1, 1, 0, 3, 3s, false);
  CHECK(bench.effects.done == std::vector<std::string>{"rate-limit 1"});
  bench.choice.call_arrives(100ms, 2, "c", 0, 1, 1, 0, 3, 3s, false);
  CHECK(bench.effects.done.back() == "send 2 to 1");
  CHECK(bench.choice.slice_of("c", 1, 3).ceiling == Approx(1));
}

TEST_CASE("a cold worker is sent to only within its budget, in this gatekeeper's turn") {
  Bench bench;
  Worker& worker = bench.worker(1);
  worker.started = 1us;
  ApiCall& call = bench.call(1, 0);
  bench.choice.wakes(10ms);
  worker.cold_budget = 1;
  CHECK(bench.choice.may_take(call, 1));
  worker.cold_budget = 0.9;
  CHECK_FALSE(bench.choice.may_take(call, 1));
  worker.cold_budget = 1;
  bench.choice.wakes(400ms);
  CHECK_FALSE(bench.choice.may_take(call, 1));
}

TEST_CASE("nothing new goes to a worker told to drain, gone, or missing from a whole list") {
  Bench bench;
  for (const WorkerId id : {1, 2, 3}) bench.worker(id);
  const ApiCall& call = bench.call(1, 0);
  bench.choice.list_opens(0s, ListKind::changes);
  bench.choice.list_names(0s, 1, Phase::draining, "z", 0, 1, 0s);
  CHECK_FALSE(bench.choice.may_take(call, 1));
  bench.choice.list_closes(0s);
  CHECK(bench.choice.may_take(call, 2));
  bench.choice.list_opens(0s, ListKind::whole);
  bench.choice.list_names(0s, 3, Phase::ready, "z", 0, 1, 0s);
  bench.choice.list_closes(0s);
  CHECK_FALSE(bench.choice.may_take(call, 2));
  CHECK(bench.choice.state.ready == std::vector<WorkerId>{3});
}

TEST_CASE("a restarted process is a new cold worker whose tries out stay counted") {
  Bench bench;
  Worker& worker = bench.worker(1);
  worker.out = 2;
  worker.misses = 5;
  bench.choice.list_opens(1s, ListKind::changes);
  bench.choice.list_names(1s, 1, Phase::ready, "z", 0, 1, 500ms);
  bench.choice.list_closes(1s);
  CHECK(worker.out == 2);
  CHECK(worker.misses == 0);
  CHECK(worker.started == 500ms);
}

TEST_CASE("a list that failed leaves the old one standing and is asked for again") {
  Terms terms = some_terms();
  terms.permits.list_on_request = true;
  Bench bench(terms);
  bench.worker(1);
  bench.choice.list_opens(0s, ListKind::failed);
  bench.choice.list_closes(0s);
  CHECK(bench.choice.state.ready.size() == 1);
  bench.effects.done.clear();
  bench.choice.wakes(1s);
  CHECK(bench.effects.done == std::vector<std::string>{"subscribe"});
}

// Incident on rating-laval: ten gatekeepers with one try out each kept every worker jammed.
TEST_CASE("three bad ends set a worker aside: after each end it is left alone for a while") {
  Bench bench;
  Worker& worker = bench.worker(1);
  const ApiCall& call = bench.call(1, 0);
  for (int i = 1; i <= 3; ++i) {
    bench.choice.wakes(i * 200ms);
    bench.choice.learn(worker, call, Outcome::timed_out, 200ms);
  }
  CHECK(worker.window <= 1.0 / 8);
  bench.choice.wakes(650ms);
  CHECK_FALSE(bench.choice.may_take(call, 1));
  bench.choice.state.dues.clear();
  bench.choice.wakes(30s);
  CHECK(bench.choice.may_take(call, 1));
}

// sapporo-main big-1: healthy workers were blamed for the long answers of large API calls.
TEST_CASE("the long answer of a large call does not make a worker's window smaller") {
  Bench bench;
  Worker& worker = bench.worker(1);
  bench.choice.state.routes[0].units = 1;
  ApiCall& call = bench.call(1, 0);
  bench.choice.wakes(800ms);
  call.units = 4;
  bench.choice.learn(worker, call, Outcome::passed, 800ms);
  CHECK(worker.window >= 4);
  call.units = 1;
  bench.choice.learn(worker, call, Outcome::passed, 800ms);
  CHECK(worker.window < 4);
}

// Incident on rating-laval: gatekeepers that stood still for seconds blamed every worker afterwards.
TEST_CASE("what was out while this gatekeeper stood still is not held against a worker") {
  Bench bench;
  Worker& worker = bench.worker(1);
  ApiCall& call = bench.call(1, 0);
  call.due = 10s;
  bench.choice.state.dues = {{call.due, 1}};
  bench.choice.state.woken_for = 1s;
  bench.choice.peer_says(3s, 1, "");
  bench.choice.learn(worker, call, Outcome::timed_out, 2900ms);
  CHECK(worker.window == 4);
  bench.choice.wakes(3s);
  bench.choice.peer_says(4s, 1, "");
  bench.choice.learn(worker, call, Outcome::timed_out, 900ms);
  CHECK(worker.window < 4);
}

// Incident on koshi-feed: repeats in time were refused as late, since last repeats have more time than first
// tries.
TEST_CASE("a repeat is late only when its client's own time-out says so") {
  Bench bench;
  bench.worker(1);
  const auto arrives = [&](CallId id, Span left, bool repeat) {
    bench.choice.call_arrives(0s, id, "c", 0, 0, 1, 0, 3, left, repeat);
    return bench.effects.done.back();
  };
  CHECK(arrives(1, 2s, false) == "send 1 to 1");
  CHECK(arrives(2, 2900ms, true) == "send 2 to 1");
  CHECK(arrives(3, 2s, true) == "send 3 to 1");
  CHECK(arrives(4, 1900ms, true) == "rate-limit 4");
}

TEST_CASE("no counter call asks for units where starting slices store less than one call") {
  Bench bench;
  Slice& slice = bench.choice.slice_of("c", 0, 30);
  slice.demand = 1000;
  slice.units = 3;
  bench.choice.take_from_pool("c", slice);
  CHECK(bench.effects.counted.empty());
  slice.units = 1;
  bench.choice.take_from_pool("c", slice);
  CHECK(bench.effects.counted.size() == 1);
}

// Incident on rating-laval: through a release of the workers new ones got ever less, in one turn of nine.
TEST_CASE("past its first windows a cold worker is open to every gatekeeper within its budget") {
  Bench bench;
  Worker& worker = bench.worker(1);
  worker.started = 1us;
  worker.cold_budget = 1;
  ApiCall& call = bench.call(1, 0);
  call.due = 10s;
  bench.choice.state.dues = {{call.due, 1}};
  bench.choice.wakes(1400ms);
  CHECK_FALSE(bench.choice.may_take(call, 1));
  bench.choice.wakes(2400ms);
  CHECK(bench.choice.may_take(call, 1));
}

TEST_CASE("a plan's quota of tries at once is shared and counted until each ends") {
  Terms terms = some_terms();
  terms.plans[0].at_once = 3;
  Bench bench(terms);
  bench.worker(1);
  bench.choice.call_arrives(0s, 1, "c", 0, 0, 1, 0, 3, 3s, false);
  bench.choice.call_arrives(0s, 2, "c", 0, 0, 1, 0, 3, 3s, false);
  CHECK(bench.effects.done.back() == "rate-limit 2");
  bench.choice.try_ends(1ms, 1, 0, 1, Outcome::passed, 1ms, true, 0);
  bench.choice.call_arrives(1ms, 3, "c", 0, 0, 1, 0, 3, 3s, false);
  CHECK(bench.effects.done.back() == "send 3 to 1");
}

}  // namespace
}  // namespace ironquay
