// Converts between a gateway's own clock and the Unix time that gateways, workers and discovery share.
//
// The gateway's clock is monotonic. Unix time may be set forward or back at any moment; it is used only where
// another machine's Unix time is compared, or where all gateways must derive the same value from the time.
#pragma once
#include <array>
#include <optional>

#include "policy/types.hpp"

namespace ironquay {

class SharedClock {
 public:
  // Sets the difference of the Unix time and the gateway's clock. It is 0 before the first call.
  void set_offset(Duration offset);

  Duration unix_time(Duration now) const { return now + offset_; }
  // Returns the time of the gateway's clock at which a process has started that reports `unix_time` as its
  // start. If Unix time has been set meanwhile, it is unknown which setting the process has read. The latest
  // start that is possible is returned, but none later than the deviation between machines permits.
  Duration start_time(Duration unix_time, Duration now) const;

 private:
  Duration offset_{0};
  bool offset_is_known_ = false;
  std::optional<Duration> first_offset_;     // the offset before Unix time was first set
  std::optional<Duration> previous_offset_;  // the offset before Unix time was last set
};

}  // namespace ironquay
