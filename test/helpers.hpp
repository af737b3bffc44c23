#pragma once
#include <string>
#include <vector>

#include "choice.hpp"

namespace ironquay {

using namespace std::chrono_literals;

struct Recorder : Effects {
  std::vector<std::string> done;
  std::vector<double> counted;
  std::string counter_name;
  std::vector<std::pair<int, std::string>> told;
  void send(CallId call, WorkerId worker, Span) override {
    done.push_back("send " + std::to_string(call) + " to " + std::to_string(worker));
  }
  void rate_limit(CallId call, Span) override { done.push_back("rate-limit " + std::to_string(call)); }
  void error(CallId call) override { done.push_back("error " + std::to_string(call)); }
  void cancel(CallId call, std::size_t) override { done.push_back("cancel " + std::to_string(call)); }
  void wake_at(Span) override {}
  void probe(WorkerId) override {}
  void close_idle(WorkerId) override {}
  void tell(int peer, std::string_view bytes) override { told.emplace_back(peer, bytes); }
  void tell_all(std::string_view) override {}
  void subscribe(bool) override { done.push_back("subscribe"); }
  void fetch_list() override {}
  void count(std::string_view name, double amount, Span) override {
    counter_name = std::string(name);
    counted.push_back(amount);
  }
  void note(std::string_view) override {}
};

// Three gatekeepers, one route of each kind (0 idempotent, 1 tokened within a cell, 2 non-idempotent), one
// plan with and one without a ceiling.
inline Terms some_terms() {
  Terms terms;
  terms.routes.resize(3);
  for (Route& route : terms.routes) {
    route.latency_target = 1s;
    route.client_timeout = 3s;
    route.billed_value = 1;
  }
  terms.routes[1].repeat = Repeat::tokened;
  terms.routes[1].scope = Scope::cell;
  terms.routes[1].recall = 4s;
  terms.routes[2].repeat = Repeat::non_idempotent;
  Plan plan;
  plan.rate = 30;
  plan.burst = 60;
  terms.plans = {plan, plan};
  terms.plans[1].ceiling_rate = 60;
  terms.plans[1].ceiling_burst = 90;
  terms.promises = {0.2, 10s, 1s, 10s};
  terms.permits.cancel = terms.permits.counter = true;
  terms.permits.tries = 6;
  terms.permits.counter_limit = 50ms;
  terms.permits.peer_intake = 40;
  terms.gatekeepers = 3;
  terms.most_units = 4;
  terms.tick = 2ms;
  return terms;
}

struct Bench {
  explicit Bench(Terms terms = some_terms()) : choice(std::move(terms), 1, 0s, effects) {}
  Recorder effects;
  Choice choice;

  Worker& worker(WorkerId id) {
    Worker& one = choice.state.workers[id];
    one.window = 4;
    choice.state.ready.push_back(id);
    choice.state.room += one.window;
    return one;
  }
  ApiCall& call(CallId id, std::size_t route) {
    ApiCall& one = choice.state.calls[id];
    one.route = route;
    one.customer = "c";
    one.units = 1;
    one.due = 900ms;
    choice.state.dues.insert({one.due, id});
    choice.slice_of("c", 0, 3);
    return one;
  }
};

}  // namespace ironquay
