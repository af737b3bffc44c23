#include "lab/emulator/traffic_statistics.hpp"

#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

// The number of seconds after the end of the run for which requests are still counted. Requests that start at
// the end of the run may still end within their clients' timeouts.
constexpr std::size_t kExtraSeconds = 120;

}  // namespace

void RequestTotals::count(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::in_time:
      ++in_time;
      break;
    case RequestOutcome::late:
      ++late;
      break;
    case RequestOutcome::rejected:
      ++rejected;
      break;
    case RequestOutcome::failed:
      ++failed;
      break;
    case RequestOutcome::lost:
      ++lost;
      break;
  }
}

RequestTotals& RequestTotals::operator+=(const RequestTotals& other) {
  requests += other.requests;
  in_time += other.in_time;
  late += other.late;
  rejected += other.rejected;
  failed += other.failed;
  lost += other.lost;
  value_within_quota += other.value_within_quota;
  value_served_in_time += other.value_served_in_time;
  return *this;
}

TrafficStatistics::TrafficStatistics(const Scenario& scenario)
    : by_plan_(scenario.plans.size()),
      by_route_(scenario.routes.size()),
      by_second_(static_cast<std::size_t>(scenario.duration / 1s) + kExtraSeconds) {}

PerSecondTotals& TrafficStatistics::totals_at(Duration now) {
  return by_second_[static_cast<std::size_t>(now / 1s)];
}

void TrafficStatistics::on_request(Duration now, const RequestSample& request) {
  ++totals_at(now).requests;
  for (RequestTotals* totals : {&by_plan_[request.plan], &by_route_[request.route]}) {
    ++totals->requests;
    if (request.within_quota) totals->value_within_quota += request.value;
  }
}

void TrafficStatistics::on_request_end(Duration now, const RequestSample& request, RequestOutcome outcome,
                                       Duration elapsed) {
  const bool in_time = outcome == RequestOutcome::in_time;
  if (in_time) ++totals_at(now).in_time;
  if (in_time || outcome == RequestOutcome::late) latencies_.push_back(to_seconds(elapsed));
  for (RequestTotals* totals : {&by_plan_[request.plan], &by_route_[request.route]}) {
    totals->count(outcome);
    if (in_time && request.within_quota) totals->value_served_in_time += request.value;
  }
}

void TrafficStatistics::on_forwarded(Duration now, double units, bool is_heavy_customer, bool within_quota) {
  units_forwarded_ += units;
  if (!within_quota) units_over_quota_ += units;
  totals_at(now).units_forwarded += units;
  if (is_heavy_customer) totals_at(now).heavy_units_forwarded += units;
}

RequestTotals TrafficStatistics::total() const {
  RequestTotals total;
  for (const RequestTotals& plan : by_plan_) total += plan;
  return total;
}

}  // namespace ironquay::lab
