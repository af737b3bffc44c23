// Decides when a client counts as one that does not read its responses.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>

#include "policy/settings.hpp"

namespace ironquay {

// What a client has to read of its responses while some are unread.
struct ReadRequirement {
  // `share_bytes`: one client's equal share of the memory for responses.
  ReadRequirement(const PolicySettings& settings, std::size_t share_bytes);

  // A client that has read less in this time gets none of its unread responses before its own timeout.
  Duration period{0};
  // The bytes that it has to read in the period, unless fewer are unread.
  std::size_t bytes = 0;
};

// Watches how one client reads its responses.
class ReadProgress {
 public:
  // `unread_bytes`: the responses that wait because the client does not read them. `read_bytes`: what it has
  // read since it connected. Returns whether the client has read less than required in the period that ends
  // now. Called from time to time; a longer interval between the calls makes the decision later only.
  bool is_too_slow(const ReadRequirement& requirement, Duration now, std::size_t unread_bytes,
                   std::uint64_t read_bytes);

 private:
  std::optional<Duration> period_start_;  // empty while nothing is unread
  std::uint64_t target_bytes_ = 0;        // the value of `read_bytes` that ends the period
};

}  // namespace ironquay
