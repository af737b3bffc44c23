// The numbers of entries of the quota modules that fit into the memory for quota state.
#pragma once
#include <algorithm>
#include <cstddef>
#include <limits>

namespace ironquay {

struct QuotaMemory {
  // `bytes`: the memory for quota state; 0: unlimited, nothing is dropped.
  explicit constexpr QuotaMemory(std::size_t bytes) {
    if (bytes == 0) return;
    max_customers = std::max<std::size_t>(1, bytes / 2 / kCustomerBytes);
    max_pending_calls = std::max<std::size_t>(1, bytes / 4 / kPendingCallBytes);
    max_exhausted_pools = std::max<std::size_t>(1, bytes / 8 / kExhaustedPoolBytes);
    refill_times = std::max<std::size_t>(1, bytes / 8 / kRefillTimeBytes);
  }

  std::size_t max_customers = std::numeric_limits<std::size_t>::max();
  std::size_t max_pending_calls = std::numeric_limits<std::size_t>::max();
  std::size_t max_exhausted_pools = std::numeric_limits<std::size_t>::max();
  std::size_t refill_times = 0;

 private:
  // The memory of one entry, with its nodes in look-up tables and lists and the overhead of the allocations.
  static constexpr std::size_t kCustomerBytes = 512;
  static constexpr std::size_t kPendingCallBytes = 512;
  static constexpr std::size_t kExhaustedPoolBytes = 64;
  static constexpr std::size_t kRefillTimeBytes = 8;
};

}  // namespace ironquay
