// Estimates when the input of a connection has arrived. The system does not tell, so the estimate is the
// earliest time that is possible.
#pragma once
#include <algorithm>
#include <optional>
#include <utility>

#include "policy/types.hpp"

namespace ironquay::net {

class ArrivalClock {
 public:
  // `earliest`: the time before which nothing can have arrived.
  explicit ArrivalClock(Duration earliest) : drained_at_(earliest) {}

  // An event reports whether there is input. What it reports had not been there at the time `not_before`, if
  // an earlier event has been received: the first event reports the state since the connection was accepted.
  void on_event(bool has_input, Duration not_before) {
    const bool is_first = !std::exchange(has_received_event_, true);
    const Duration earliest = is_first ? drained_at_ : std::max(drained_at_, not_before);
    if (has_input && !waiting_since_) waiting_since_ = earliest;
    if (!has_input && !waiting_since_) drained_at_ = std::max(drained_at_, not_before);
  }
  // Bytes were received. `started_at` is the time before the system call; `drained` is whether the system had
  // no more bytes then.
  void on_received(Duration started_at, bool drained) {
    if (!waiting_since_) waiting_since_ = drained_at_;
    drained_ = drained;
    if (drained) drained_at_ = started_at;
  }
  // All commands that were received have been processed.
  void on_processed() {
    if (drained_) waiting_since_.reset();
  }
  // A system call that began at `started_at` has found no bytes. All commands that were received have been
  // processed.
  void on_nothing_received(Duration started_at) {
    drained_ = true;
    drained_at_ = started_at;
    waiting_since_.reset();
  }

  // How long the next command may have been waiting at the time `now`.
  Duration waited(Duration now) const { return std::max(Duration(0), now - waiting_since_.value_or(now)); }

 private:
  std::optional<Duration> waiting_since_;  // empty if no input is known to wait
  Duration drained_at_;                    // when the system last had no more bytes
  bool drained_ = false;
  bool has_received_event_ = false;
};

}  // namespace ironquay::net
