// Conversions between Duration and seconds in floating point.
#pragma once
#include "policy/types.hpp"

namespace ironquay {

inline double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Truncates to whole microseconds.
inline Duration from_seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace ironquay
