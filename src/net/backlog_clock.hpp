// Estimates when the connections in the backlog of a listening socket have come. The system does not tell, so
// the estimate is the earliest time that is possible.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "policy/types.hpp"

namespace ironquay::net {

// Connections are accepted in the order in which they came. How many have come until a given time is the
// number of those accepted and those waiting then, so that all later ones came after it.
class BacklogClock {
 public:
  // `start`: the time before which no connection can have come.
  explicit BacklogClock(Duration start) { samples_.push_back({start, 0}); }

  // At the given time, this many connections were waiting to be accepted.
  void on_length(Duration time, std::size_t waiting) {
    const std::uint64_t arrived = std::max(samples_.back().arrived, accepted_ + waiting);
    accepted_ = arrived - waiting;  // connections that left the backlog unaccepted are counted as accepted
    const Duration latest = std::max(samples_.back().time, time);
    if (arrived == samples_.back().arrived) samples_.pop_back();
    samples_.push_back({latest, arrived});
    length_is_known_ = true;
  }
  // No connection has come until `time` since the last call of on_length().
  void on_no_arrival_until(Duration time) {
    if (length_is_known_) samples_.back().time = std::max(samples_.back().time, time);
  }
  // It is not known how many connections are waiting.
  void on_unknown_length() { length_is_known_ = false; }
  // The next connection has been accepted. Returns the earliest time at which it may have come.
  Duration on_accepted() {
    ++accepted_;
    while (samples_.size() > 1 && samples_[1].arrived < accepted_) samples_.pop_front();
    return samples_.front().time;
  }

 private:
  struct Sample {
    Duration time{0};
    std::uint64_t arrived = 0;  // the connections that had come by then
  };

  std::deque<Sample> samples_;  // never empty; with increasing numbers, fewer than the backlog's limit
  std::uint64_t accepted_ = 0;
  bool length_is_known_ = true;
};

}  // namespace ironquay::net
