#include "policy/overload_controller.hpp"

#include <algorithm>
#include <cmath>

namespace ironquay {
namespace {

// The number of recent attempts in the averages of the shares. A gateway among hundreds sends this many
// attempts in a few seconds.
constexpr double kAttemptWindow = 16;
// The greatest change of the admitted share by one attempt.
constexpr double kMaxStep = 0.1;
constexpr double kMinAdmittedShare = 1.0 / 64;
// The weight of an arriving request's queue rank in the mean rank of recent requests.
constexpr double kRankSmoothing = 0.02;

}  // namespace

void OverloadController::record_response(bool slow) {
  timely_attempt_share_ += ((slow ? 0.0 : 1.0) - timely_attempt_share_) / kAttemptWindow;
  slow_response_share_ += ((slow ? 1.0 : 0.0) - slow_response_share_) / kAttemptWindow;
  adjust(slow, kMaxStep);
}

void OverloadController::record_failure() {
  timely_attempt_share_ += (0.0 - timely_attempt_share_) / kAttemptWindow;
  adjust(true, timely_attempt_share_ < 0.5 ? kMaxStep : kMaxStep * slow_response_share_);
}

// One attempt at most halves or doubles the admitted share, even if the share is low.
void OverloadController::adjust(bool lower, double step) {
  admitted_share_ += lower ? -std::min(step, admitted_share_ / 2) : std::min(step, admitted_share_);
  admitted_share_ = std::clamp(admitted_share_, kMinAdmittedShare, 1.0);
}

// The first rank replaces the initial mean of 0.
void OverloadController::record_rank(double queue_rank) {
  mean_rank_ += (mean_rank_ < 0 ? kRankSmoothing : 1) * (queue_rank - mean_rank_);
}

// Ranks are negative. A request with a lower rank than the mean thus has a relative value above 1.
bool OverloadController::admits(double queue_rank, RandomSource& random) const {
  const double relative_value = mean_rank_ < 0 ? std::clamp(queue_rank / mean_rank_, 1e-3, 4.0) : 1;
  return random.chance(std::pow(admitted_share_, 1 / relative_value));
}

}  // namespace ironquay
