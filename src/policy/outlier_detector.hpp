// Ejects workers whose attempts fail repeatedly, whether the worker hangs, is unreachable, has crashed, or
// returns errors or malformed responses.
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
  // The concurrency limit to which an ejected worker is reduced. It still receives few attempts, and the
  // limit grows again when they succeed.
  static double ejected_concurrency_limit();
};

}  // namespace ironquay
