// The only place that reads the wall clock (Unix time), which may be set forward or back at any moment.
#pragma once
#include <chrono>

#include "policy/types.hpp"

namespace ironquay::net {

inline Duration unix_time() {
  return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace ironquay::net
