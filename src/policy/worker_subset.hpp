// Deterministic subsetting: each gateway prefers a small subset of the workers, so that it observes each of
// them often.
//
// With hundreds of gateways, each one sends few attempts. A gateway that distributed them over all workers
// would reach a given worker so rarely that its statistics about the worker would be out of date. A subset is
// a contiguous range of the list of ready workers, which wraps around and starts at an offset given by the
// gateway's index.
#pragma once
#include <cstddef>

#include "policy/settings.hpp"

namespace ironquay {

class WorkerSubset {
 public:
  WorkerSubset(const PolicySettings& settings, Duration now) : settings_(settings), rate_updated_at_(now) {}

  // The number of workers in the subset, at least one. It grows with send_rate(), so that the gateway sends
  // about one attempt per second to each worker of the subset.
  std::size_t size(std::size_t ready_workers) const;
  // The index of the subset's first worker in the list of ready workers.
  std::size_t offset(std::size_t ready_workers) const;
  // The concurrency limit, in attempts in flight, of a worker that this gateway has not observed yet.
  double initial_concurrency_limit(std::size_t ready_workers) const;

  // Records that an attempt is sent. `warm` is true if the attempt's worker has its full capacity.
  void record_send(Duration now, bool warm);
  // Attempts per second to warm workers, averaged over about the last two seconds.
  double send_rate() const { return send_rate_; }
  // Replaces the measured rate.
  void set_send_rate_for_testing(double rate, Duration now);

 private:
  const PolicySettings& settings_;
  double send_rate_ = 0;  // attempts per second, as of `rate_updated_at_`
  Duration rate_updated_at_;
};

}  // namespace ironquay
