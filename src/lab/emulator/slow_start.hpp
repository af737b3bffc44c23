// The capacity of a worker that is warming up after its start (slow start).
#pragma once
#include <algorithm>

#include "policy/duration.hpp"
#include "policy/settings.hpp"

namespace ironquay::lab {

// The fraction of the slow start window that has passed for a worker that started `age` ago. The worker has
// its full capacity when the result is 1 or more.
inline double warm_up_progress(const ContractSettings& contract, Duration age) {
  constexpr double kMinWindowSeconds = 1e-3;  // avoids a division by zero if the window is zero
  return to_seconds(age) / std::max(kMinWindowSeconds, to_seconds(contract.slow_start_window));
}

// The fraction of its full capacity, between 0 and 1, that a worker has at this progress. It grows linearly
// from the contract's initial share.
inline double capacity_share(const ContractSettings& contract, double progress) {
  return contract.initial_capacity_share + (1 - contract.initial_capacity_share) * std::min(1.0, progress);
}

}  // namespace ironquay::lab
