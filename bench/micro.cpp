// Micro-benchmarks of the hot paths: the parsers, the endpoint list, and the load balancer's handling of a
// request.
#include <benchmark/benchmark.h>

#include "net/json_splitter.hpp"
#include "net/resp.hpp"
#include "policy/load_balancer.hpp"

namespace ironquay {
namespace {

using namespace std::chrono_literals;

const std::string kRequestFields = "c=lookup,t=team,d=480,units=2,spread=3,first=1";

void parse_command(benchmark::State& state) {
  std::string text;
  net::resp::append_array_header(text, 4);
  for (const std::string_view argument :
       {"CALL.GET", "00000000b4d65521", "9b1f03aa5c7e2d41", kRequestFields.c_str()})
    net::resp::append_bulk_string(text, argument);
  for ([[maybe_unused]] auto _ : state) {
    net::resp::Command command;
    benchmark::DoNotOptimize(net::resp::parse_command(text, command));
    benchmark::DoNotOptimize(command);
  }
}
BENCHMARK(parse_command);

void parse_reply(benchmark::State& state) {
  const auto size = static_cast<std::size_t>(state.range(0));
  const std::string text = "*3\r\n$" + std::to_string(size) + "\r\n" + std::string(size, 'x') +
                           "\r\n$14\r\nused=37,cost=4\r\n$-1\r\n";
  for ([[maybe_unused]] auto _ : state) {
    net::resp::Reply reply;
    benchmark::DoNotOptimize(net::resp::parse_reply(text, reply));
    benchmark::DoNotOptimize(reply);
  }
}
BENCHMARK(parse_reply)->Arg(64)->Arg(60000);

void split_endpoint_list(benchmark::State& state) {
  std::string text = "{\"seq\":41,\"whole\":true,\"hosts\":[";
  for (int i = 0; i < state.range(0); ++i)
    text += std::string(i ? "," : "") +
            R"({"host":"s-5be2a07c","dial":"10.1.0.18:6379","site":"a","class":"m2","block":3,)" +
            R"("health":"in_service","share":1.0,"born_ms":0})";
  text += "]}\n";
  for ([[maybe_unused]] auto _ : state) {
    net::JsonSplitter splitter;
    std::size_t bytes = 0;
    splitter.feed(
        text, [&](std::string_view object) { bytes += object.size(); }, [] {});
    benchmark::DoNotOptimize(bytes);
  }
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * text.size()));
}
BENCHMARK(split_endpoint_list)->Arg(200);

// Ignores all effects, except that it records the worker of the last attempt.
struct RecordingEffects : Effects {
  void send_attempt(RequestId, WorkerId worker, Duration) override { last_worker = worker; }
  void reject(RequestId, Duration) override {}
  void fail(RequestId) override {}
  void cancel_attempt(RequestId, std::size_t) override {}
  void set_timer(Duration) override {}
  void check_health(WorkerId) override {}
  void close_idle_connections(WorkerId) override {}
  void send_gossip(int, std::string_view) override {}
  void broadcast_gossip(std::string_view) override {}
  void subscribe_endpoints(bool) override {}
  void poll_endpoints() override {}
  void add_to_counter(std::string_view, double, Duration) override {}
  void log_note(std::string_view) override {}
  WorkerId last_worker = 0;
};

// Measures the load balancer's handling of a request that is within its quota and succeeds at the first
// attempt. The argument is the number of workers.
void serve_request(benchmark::State& state) {
  PolicySettings settings;
  settings.routes.resize(1);
  settings.routes[0].latency_objective = 1s;
  settings.routes[0].client_timeout = 3s;
  settings.routes[0].priority_weight = 1;
  QuotaPlan plan;
  plan.rate = plan.burst = 1e9;
  settings.plans = {plan};
  settings.capabilities.max_attempts = 6;
  settings.tick = 2ms;
  RecordingEffects effects;
  LoadBalancer balancer(settings, 1, 0s, effects);
  balancer.on_endpoint_list_begin(0s, EndpointListKind::full);
  for (WorkerId id = 1; id <= static_cast<WorkerId>(state.range(0)); ++id)
    balancer.on_endpoint(0s, {id, WorkerStatus::ready, "", id / 4, 1, 0s});
  balancer.on_endpoint_list_end(0s);
  Duration now(0);
  RequestId id = 0;
  for ([[maybe_unused]] auto _ : state) {
    now += 1ms;
    balancer.on_request(now, {++id, "00000000b4d65521", 0, 0, 2, 0, 1, 3s, false});
    balancer.on_attempt_end(now + 100us, {id, 0, effects.last_worker, Outcome::success, 100us, true, 0});
  }
}
BENCHMARK(serve_request)->Arg(10)->Arg(200);

}  // namespace
}  // namespace ironquay

BENCHMARK_MAIN();
