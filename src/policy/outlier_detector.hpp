// Ejects workers whose attempts fail repeatedly: workers that hang, are unreachable, have crashed, or return
// errors or malformed responses.
#pragma once
#include "policy/types.hpp"
#include "policy/worker.hpp"

namespace ironquay {

class OutlierDetector {
 public:
  static void record_success(Worker& worker) { worker.consecutive_failures = 0; }
  static void record_failure(Worker& worker, Outcome outcome);
  // Whether the worker's consecutive failures have reached the threshold for ejection.
  static bool is_ejected(const Worker& worker);
  // The concurrency limit to which the limit of an ejected worker is reduced. The worker still receives a few
  // attempts, and its limit grows again when they succeed.
  static double ejected_concurrency_limit();
};

}  // namespace ironquay
