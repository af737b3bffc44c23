// Remembers when the quota slices that are no longer kept would have been full again, so that a customer that
// returns does not find more units than it left.
//
// A fixed number of entries is used, and several customers may share one. The latest time of them applies to
// all, so a customer may be given too few units, for no longer than a slice takes to fill, but never too
// many.
#pragma once
#include <string_view>
#include <vector>

#include "policy/types.hpp"

namespace ironquay {

class RefillTimes {
 public:
  // Nothing is remembered if `entries` is zero.
  explicit RefillTimes(std::size_t entries) : full_at_(entries) {}

  // The customer's slice is dropped, and would have been full at `full_at`.
  void record(std::string_view customer, Duration full_at);
  // The time until a slice of the customer that was dropped would be full; zero if none was.
  Duration time_to_full(std::string_view customer, Duration now) const;

 private:
  std::size_t index(std::string_view customer) const;

  std::vector<Duration> full_at_;
};

}  // namespace ironquay
