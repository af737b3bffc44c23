// The state that a gateway keeps about one worker.
#pragma once
#include <string>

#include "policy/types.hpp"

namespace ironquay {

struct Worker {
  // The fields down to address are reported by discovery.
  std::string zone;
  std::int64_t cell = 0;
  double relative_capacity = 1;  // full capacity divided by that of a standard worker
  WorkerStatus status = WorkerStatus::ready;
  Duration started_at{0};      // when the process started, or 0 if so long ago that the worker is warm
  Duration reported_start{0};  // the start as discovery reports it, in Unix time; identifies the process
  std::uint64_t address = 0;   // see EndpointUpdate::address

  int in_flight = 0;  // this gateway's attempts in flight at the worker
  // The greatest number of attempts that this gateway may have in flight at the worker. If it is below one,
  // the gateway waits between attempts; see ConcurrencyLimiter.
  double concurrency_limit = 0;
  Duration limit_reduced_at{0};  // when concurrency_limit was last reduced
  // The number of failures since the last success. Some failures count twice or not at all; see
  // OutlierDetector.
  int consecutive_failures = 0;
  double mean_latency = 0;  // average latency of recent attempts, in seconds
  // The average ratio of an attempt's latency to the mean latency of its route.
  double relative_latency = 1;
  Duration last_attempt_ended_at{0};  // when the last attempt at the worker ended

  double slow_start_budget = 0;   // attempts that the warming worker may be sent; see SlowStart
  Duration budget_updated_at{0};  // when SlowStart::refill_budget() last changed the budget
};

}  // namespace ironquay
