#include "policy/outlier_detector.hpp"

namespace ironquay {
namespace {

// The number of consecutive failures, weighted by failure_weight(), after which a worker is ejected.
constexpr int kFailuresToEject = 3;
// A failure to connect counts as this many failures, so the second one in a row ejects the worker.
constexpr int kConnectFailureWeight = 2;
// The concurrency limit of an ejected worker; see ConcurrencyLimiter for limits below one.
constexpr double kEjectedLimit = 1.0 / 8;

// A rejection means that the worker's queue is full or that the worker is draining, not that it is faulty.
int failure_weight(Outcome outcome) {
  if (outcome == Outcome::rejected) return 0;
  return outcome == Outcome::connect_failed ? kConnectFailureWeight : 1;
}

}  // namespace

void OutlierDetector::record_failure(Worker& worker, Outcome outcome) {
  worker.consecutive_failures += failure_weight(outcome);
}

bool OutlierDetector::is_ejected(const Worker& worker) {
  return worker.consecutive_failures >= kFailuresToEject;
}

double OutlierDetector::ejected_concurrency_limit() { return kEjectedLimit; }

}  // namespace ironquay
