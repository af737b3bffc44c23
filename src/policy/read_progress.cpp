#include "policy/read_progress.hpp"

#include <algorithm>

namespace ironquay {

ReadRequirement::ReadRequirement(const PolicySettings& settings, std::size_t share_bytes)
    : period(longest_client_timeout(settings)), bytes(share_bytes) {}

bool ReadProgress::is_too_slow(const ReadRequirement& requirement, Duration now, std::size_t unread_bytes,
                               std::uint64_t read_bytes) {
  if (unread_bytes == 0) {
    period_start_.reset();
    return false;
  }
  if (!period_start_ || read_bytes >= target_bytes_) {
    period_start_ = now;
    target_bytes_ = read_bytes + std::min(unread_bytes, requirement.bytes);
    return false;
  }
  return now - *period_start_ >= requirement.period;
}

}  // namespace ironquay
