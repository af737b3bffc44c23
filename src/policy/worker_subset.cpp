#include "policy/worker_subset.hpp"

#include <algorithm>
#include <cmath>

#include "policy/duration.hpp"

namespace ironquay {
namespace {

// The subset size at a gateway that sends no attempts. The subset must always contain other workers for the
// retries of a request.
constexpr double kMinSubsetSize = 4;
// The initial limit on the attempts that all gateways together have in flight at one worker. It occupies a
// few cores, and is divided among the gateways whose subsets contain the worker.
constexpr double kInitialTotalLimit = 6;
// The time constant of the exponential average that send_rate() returns.
constexpr double kRateWindowSeconds = 2;

}  // namespace

std::size_t WorkerSubset::size(std::size_t ready_workers) const {
  return std::clamp<std::size_t>(ready_workers, 1, static_cast<std::size_t>(kMinSubsetSize + send_rate_));
}

std::size_t WorkerSubset::offset(std::size_t ready_workers) const {
  return ready_workers * static_cast<std::size_t>(settings_.gateway_index) /
         static_cast<std::size_t>(std::max(1, settings_.gateway_count));
}

double WorkerSubset::initial_concurrency_limit(std::size_t ready_workers) const {
  const auto subset_size = static_cast<double>(size(ready_workers));
  return kInitialTotalLimit * std::max(static_cast<double>(ready_workers), subset_size) / subset_size /
         settings_.gateway_count;
}

void WorkerSubset::record_send(Duration now, bool warm) {
  send_rate_ *= std::exp(-to_seconds(now - rate_updated_at_) / kRateWindowSeconds);
  rate_updated_at_ = now;
  if (warm) send_rate_ += 1 / kRateWindowSeconds;
}

void WorkerSubset::set_send_rate_for_testing(double rate, Duration now) {
  send_rate_ = rate;
  rate_updated_at_ = now;
}

}  // namespace ironquay
