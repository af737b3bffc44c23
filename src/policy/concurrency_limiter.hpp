// Adapts the concurrency limit of each worker, which is the number of attempts that this gateway may have in
// flight at the worker.
//
// The limit grows while responses are fast and the gateway uses the limit fully. It shrinks on slow responses
// and failures, but at most once per response time, because all attempts in flight wait in the same queue at
// the worker. A limit below one is the share of time in which the worker may have an attempt in flight: the
// gateway waits after each attempt before it sends the next one to the worker.
#pragma once
#include "policy/types.hpp"
#include "policy/worker.hpp"
#include "policy/worker_registry.hpp"

namespace ironquay {

// How long a response took, in absolute terms and relative to its route's latency objective. The ratios let
// the limiter compare responses of different routes.
struct ResponseTiming {
  Duration elapsed{0};  // time from sending the attempt to its response
  // Latency of the response, scaled to a request of mean size, divided by the route's latency objective.
  double latency_ratio = 0;
  // RouteStatistics::unloaded_latency() divided by the route's latency objective.
  double unloaded_latency_ratio = 0;
};

class ConcurrencyLimiter {
 public:
  ConcurrencyLimiter(WorkerRegistry& workers, const WorkerSubset& subset)
      : workers_(workers), subset_(subset) {}

  // Adapts the worker's limit after a response.
  void record_response(Worker& worker, const ResponseTiming& timing, Duration now);
  // Adapts the worker's limit after an attempt that failed `elapsed` after it was sent.
  void record_failure(Worker& worker, Outcome outcome, Duration elapsed, Duration now);
  // Reduces the worker's limit to `max_limit` if it is higher.
  void cap_limit(Worker& worker, double max_limit);

  // Whether the worker may have one more attempt in flight.
  static bool may_send(const Worker& worker, Duration now);

 private:
  // Multiplies the limit by `factor`, unless it was reduced within the last `elapsed`.
  void shrink(Worker& worker, double factor, Duration elapsed, Duration now);

  WorkerRegistry& workers_;
  const WorkerSubset& subset_;
};

}  // namespace ironquay
