#include "lab/emulator/emulation_figures.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lab/quantile.hpp"
#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::ordered_json;

constexpr double kMillisecondsPerSecond = 1000;
// Lower bound, in core seconds, of the work that wasted_work_share() divides by. It avoids a division by zero
// if no work was done.
constexpr double kMinWork = 1e-9;

Json to_json(const RequestTotals& totals) {
  return {{"asked", totals.requests},
          {"in_time", totals.in_time},
          {"late", totals.late},
          {"rate_limited", totals.rejected},
          {"errored", totals.failed},
          {"lost", totals.lost},
          {"served_inside", totals.served_value_share()}};
}

// Returns a JSON object that maps the name of each plan or route to its totals.
template <typename Named>
Json by_name(const std::vector<Named>& names, const std::vector<RequestTotals>& totals) {
  Json json = Json::object();
  for (std::size_t i = 0; i < totals.size(); ++i) json[names[i].name] = to_json(totals[i]);
  return json;
}

// Returns an array for each second of the run: requests, requests served in time, units forwarded, and units
// forwarded for heavy customers.
Json per_second(const EmulationResults& results) {
  Json json = Json::array();
  const auto seconds = static_cast<std::size_t>(results.scenario.duration / 1s);
  for (std::size_t i = 0; i <= seconds; ++i) {
    const PerSecondTotals& second = results.statistics.by_second()[i];
    json.push_back({second.requests, second.in_time, second.units_forwarded, second.heavy_units_forwarded});
  }
  return json;
}

Json latency_quantiles(std::vector<double> latencies) {
  std::sort(latencies.begin(), latencies.end());
  const auto quantile_ms = [&](double probability) {
    return sorted_quantile(latencies, probability) * kMillisecondsPerSecond;
  };
  return {{"p50", quantile_ms(.5)},
          {"p90", quantile_ms(.9)},
          {"p99", quantile_ms(.99)},
          {"p99.9", quantile_ms(.999)}};
}

Json to_json(const std::optional<InvariantViolation>& violation) {
  if (!violation) return Json();
  return {{"rule", violation->rule},
          {"at_s", to_seconds(violation->when)},
          {"call", violation->request},
          {"worker", violation->worker}};
}

// How closely the gateways kept customers to their quotas. A customer's quota use is the units that gateways
// forwarded for it, divided by the units that its quota permits over the whole run.
struct QuotaFigures {
  double max_quota_use = 0;          // highest quota use of any customer
  double median_limited_use = 0;     // median quota use of the customers that requested more than their quota
  double heavy_customers_quota = 0;  // sum of the quotas of all heavy customers, in units per second
};

QuotaFigures quota_figures(const EmulationResults& results) {
  QuotaFigures figures;
  std::vector<double> limited_uses;
  for (const Customer& customer : results.customers) {
    const QuotaPlan& quota = results.scenario.policy_settings.plans[customer.plan];
    const double permitted_units = quota.burst + quota.rate * to_seconds(results.scenario.duration);
    const double quota_use = customer.units_forwarded / permitted_units;
    figures.max_quota_use = std::max(figures.max_quota_use, quota_use);
    if (customer.is_heavy) figures.heavy_customers_quota += quota.rate;
    if (customer.units_requested > permitted_units) limited_uses.push_back(quota_use);
  }
  std::sort(limited_uses.begin(), limited_uses.end());
  if (!limited_uses.empty()) figures.median_limited_use = limited_uses[limited_uses.size() / 2];
  return figures;
}

// The fraction of the workers' work that was spent on cancelled jobs.
double wasted_work_share(const EmulatedWorkers& workers) {
  return workers.wasted_work() / std::max(kMinWork, workers.wasted_work() + workers.useful_work());
}

}  // namespace

Json emulation_figures(const EmulationResults& results) {
  const Scenario& scenario = results.scenario;
  const TrafficStatistics& statistics = results.statistics;
  const RequestTotals total = statistics.total();
  const QuotaFigures quotas = quota_figures(results);
  const double requests = std::max<double>(1, static_cast<double>(total.requests));
  const auto per_request = [&](std::uint64_t count) { return static_cast<double>(count) / requests; };
  return {{"scenario", scenario.name},
          {"gatekeepers", scenario.gateway_count()},
          {"workers", scenario.workers.count},
          {"length_s", to_seconds(scenario.duration)},
          {"asked", total.requests},
          {"in_time", total.in_time},
          {"served_inside", total.served_value_share()},
          {"beyond_quota", statistics.over_quota_share()},
          {"worst_customer_of_quota", quotas.max_quota_use},
          {"heavy_customer_of_quota", quotas.median_limited_use},
          {"counter_calls", per_request(results.counter.calls())},
          {"messages", per_request(results.gossip.messages_sent())},
          {"tries", per_request(statistics.attempts())},
          {"useless_work", wasted_work_share(results.workers)},
          {"hottest_cold", results.invariants.peak_slow_start_load()},
          {"latency_ms", latency_quantiles(statistics.latencies())},
          {"plans", by_name(scenario.plans, statistics.by_plan())},
          {"routes", by_name(scenario.routes, statistics.by_route())},
          {"heavy_quota", quotas.heavy_customers_quota},
          {"per_second", per_second(results)},
          {"broken", to_json(results.invariants.violation())},
          {"seed", results.seed}};
}

}  // namespace ironquay::lab
