#include "policy/counter_health.hpp"

#include <algorithm>

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// Bounds of the back-off time, which doubles with each failure.
constexpr Duration kMinimumBackoff = 250ms, kMaximumBackoff = 4s;
// The call share grows by this amount with each answer in time, and is multiplied by a factor after a slow
// answer or a failure, but not below its minimum.
constexpr double kCallShareIncrease = 0.02;
constexpr double kSlowFactor = 0.9, kFailureFactor = 0.7;
constexpr double kMinimumCallShare = 1.0 / 64;

}  // namespace

void CounterHealth::record(Outcome outcome, Duration sent_at, Duration now) {
  // A lost connection or an unreadable response says nothing about the counter itself.
  const bool inconclusive = outcome == Outcome::connection_lost;
  const bool answered = outcome == Outcome::success || inconclusive;
  // A failed call that was sent before the previous result came in does not count: when the counter falls
  // silent, all calls in flight time out, and together they are one failure.
  const Duration previous_result_at = unavailable_until_ - backoff_;
  const bool counts = !inconclusive && (answered || sent_at >= previous_result_at);
  if (counts) backoff_ = answered ? 0s : std::clamp<Duration>(2 * backoff_, kMinimumBackoff, kMaximumBackoff);
  unavailable_until_ = now + backoff_;

  // A slow answer means that calls wait at the counter for about half of the time-out.
  const bool slow = now - sent_at > timeout_ / 2;
  if (answered && !slow) call_share_ = std::min(1.0, call_share_ + kCallShareIncrease);
  if (counts && (slow || !answered)) {
    call_share_ = std::max(kMinimumCallShare, call_share_ * (answered ? kSlowFactor : kFailureFactor));
  }
}

}  // namespace ironquay
