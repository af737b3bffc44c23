// The state that a gateway keeps about one worker.
#pragma once
#include <string>

#include "policy/types.hpp"

namespace ironquay {

struct Worker {
  // As reported by discovery.
  std::string zone;
  std::int64_t cell = 0;
  double capacity_share = 1;  // capacity relative to a standard worker
  WorkerStatus status = WorkerStatus::ready;
  Duration started_at{0};  // 0: started long ago, so the worker is warm

  int in_flight = 0;  // attempts of this gateway in flight
  // The greatest number of attempts that this gateway may have in flight. Below one, the gateway pauses
  // between attempts; see ConcurrencyLimiter.
  double concurrency_limit = 0;
  Duration limit_reduced_at{0};  // when the limit was last reduced
  int consecutive_failures = 0;  // weighted; see OutlierDetector
  double mean_latency = 0;       // seconds, average of recent attempts
  double relative_latency = 1;   // average ratio of its latency to the mean latency of the request's route
  Duration last_attempt_ended_at{0};  // time at which an attempt last ended

  double slow_start_budget = 0;   // attempts that it may be sent while it warms up; see SlowStart
  Duration budget_updated_at{0};  // when the budget was last increased
};

}  // namespace ironquay
