#include "policy/shared_clock.hpp"

#include <algorithm>

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// A smaller change of the offset is an adjustment of the clock's speed or the time between two readings.
constexpr Duration kMinStep = 100ms;
// The largest deviation between the clocks of two machines.
constexpr Duration kMaxDeviation = 1s;

}  // namespace

void SharedClock::set_offset(Duration offset) {
  if (offset_is_known_ && std::chrono::abs(offset - offset_) >= kMinStep) {
    if (!first_offset_) first_offset_ = offset_;
    previous_offset_ = offset_;
  }
  offset_ = offset;
  offset_is_known_ = true;
}

Duration SharedClock::start_time(Duration unix_time, Duration now) const {
  const Duration latest = now + kMaxDeviation;
  std::optional<Duration> start;
  for (const std::optional<Duration>& offset : {std::optional(offset_), previous_offset_, first_offset_}) {
    if (!offset || unix_time - *offset > latest) continue;
    start = std::max(start.value_or(Duration::min()), unix_time - *offset);
  }
  return start.value_or(latest);
}

}  // namespace ironquay
