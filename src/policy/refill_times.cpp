#include "policy/refill_times.hpp"

#include <algorithm>

#include "policy/fnv1a.hpp"

namespace ironquay {

void RefillTimes::record(std::string_view customer, Duration full_at) {
  if (full_at_.empty()) return;
  Duration& entry = full_at_[index(customer)];
  entry = std::max(entry, full_at);
}

Duration RefillTimes::time_to_full(std::string_view customer, Duration now) const {
  return full_at_.empty() ? Duration(0) : std::max(Duration(0), full_at_[index(customer)] - now);
}

std::size_t RefillTimes::index(std::string_view customer) const {
  return fnv1a_64(customer) % full_at_.size();
}

}  // namespace ironquay
