#include "lab/loadgen/load_totals.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lab/quantile.hpp"

namespace ironquay::lab {

void LoadTotals::on_request_end(LoadRequestOutcome outcome, double latency_ms) {
  switch (outcome) {
    case LoadRequestOutcome::served:
      ++served_;
      latencies_ms_.push_back(latency_ms);
      break;
    case LoadRequestOutcome::rejected:
      ++rejected_;
      break;
    case LoadRequestOutcome::failed:
      ++failed_;
      break;
    case LoadRequestOutcome::lost:
      ++lost_;
      break;
  }
}

LoadTotals& LoadTotals::operator+=(const LoadTotals& other) {
  requests_ += other.requests_;
  served_ += other.served_;
  rejected_ += other.rejected_;
  failed_ += other.failed_;
  lost_ += other.lost_;
  latencies_ms_.insert(latencies_ms_.end(), other.latencies_ms_.begin(), other.latencies_ms_.end());
  return *this;
}

nlohmann::ordered_json LoadTotals::to_json() const {
  std::vector<double> sorted = latencies_ms_;
  std::sort(sorted.begin(), sorted.end());
  return {{"asked", requests_},
          {"admitted", served_},
          {"rate_limited", rejected_},
          {"errored", failed_},
          {"lost", lost_},
          {"p50_ms", sorted_quantile(sorted, .5)},
          {"p90_ms", sorted_quantile(sorted, .9)},
          {"p99_ms", sorted_quantile(sorted, .99)},
          {"p99.9_ms", sorted_quantile(sorted, .999)}};
}

}  // namespace ironquay::lab
