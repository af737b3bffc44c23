#include "policy/counter_health.hpp"

#include <algorithm>

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// Bounds of the back-off time, which doubles with each failure.
constexpr Duration kMinBackoff = 250ms, kMaxBackoff = 4s;
// The call share increases by this amount with each reply in time.
constexpr double kCallShareIncrease = 0.02;
// A slow reply or a failure multiplies the call share by one of these factors, but the share does not fall
// below kMinCallShare.
constexpr double kSlowReplyFactor = 0.9, kFailureFactor = 0.7;
constexpr double kMinCallShare = 1.0 / 64;

}  // namespace

void CounterHealth::record(Outcome outcome, Duration sent_at, Duration now) {
  // A lost connection or an unreadable reply does not show whether the counter is healthy.
  const bool inconclusive = outcome == Outcome::connection_lost;
  const bool replied = outcome == Outcome::success || inconclusive;
  // A failed call that was sent before the previous result arrived does not count as another failure: when
  // the counter stops replying, all calls in flight time out, and together they count as one failure.
  const Duration previous_result_at = unavailable_until_ - backoff_;
  const bool affects_health = !inconclusive && (replied || sent_at >= previous_result_at);
  if (affects_health) backoff_ = replied ? 0s : std::clamp<Duration>(2 * backoff_, kMinBackoff, kMaxBackoff);
  unavailable_until_ = now + backoff_;

  // A call that takes more than half of the time-out indicates that calls queue at the counter.
  const bool slow = now - sent_at > timeout_ / 2;
  if (replied && !slow) call_share_ = std::min(1.0, call_share_ + kCallShareIncrease);
  if (affects_health && (slow || !replied)) {
    call_share_ = std::max(kMinCallShare, call_share_ * (replied ? kSlowReplyFactor : kFailureFactor));
  }
}

}  // namespace ironquay
