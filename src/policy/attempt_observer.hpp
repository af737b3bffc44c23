// Updates the statistics and limits of workers, of routes and of the fleet (all workers together) with the
// outcome of each attempt.
#pragma once
#include <vector>

#include "policy/concurrency_limiter.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/overload_controller.hpp"
#include "policy/request.hpp"
#include "policy/route_statistics.hpp"
#include "policy/settings.hpp"

namespace ironquay {

class AttemptObserver {
 public:
  AttemptObserver(const PolicySettings& settings, ConcurrencyLimiter& limiter, OverloadController& overload,
                  std::vector<RouteStatistics>& route_statistics)
      : settings_(settings), limiter_(limiter), overload_(overload), route_statistics_(route_statistics) {}

  // Records that an attempt of the request at the worker ended, or that the gateway stopped waiting for it,
  // `elapsed` after it was sent.
  void record(Worker& worker, const Request& request, Outcome outcome, Duration elapsed, Duration now);

  // Records that this gateway's process was suspended until now. Attempts sent before now are ignored,
  // because their latencies and time-outs say nothing about their workers.
  void process_resumed(Duration now) { resumed_at_ = now; }

 private:
  void record_response(Worker& worker, RouteStatistics& statistics, const Request& request, Duration elapsed,
                       Duration now);
  void record_failure(Worker& worker, Outcome outcome, Duration elapsed, Duration now);

  const PolicySettings& settings_;
  ConcurrencyLimiter& limiter_;
  OverloadController& overload_;
  std::vector<RouteStatistics>& route_statistics_;
  Duration resumed_at_{0};  // when the process last resumed after a suspension
};

}  // namespace ironquay
