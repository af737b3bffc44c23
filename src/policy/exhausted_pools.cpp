#include "policy/exhausted_pools.hpp"

#include <charconv>

#include "policy/fnv1a.hpp"

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// How long a pool counts as exhausted. This is longer than most bursts of requests, so that the other
// gateways rarely need another notification.
constexpr Duration kExhaustedDuration = 8s;
// With fewer records than this, expired ones are not removed.
constexpr std::size_t kMinimumCleanupSize = 64;

}  // namespace

bool ExhaustedPools::contains(std::string_view customer, Duration now) const {
  const auto found = expirations_.find(key(customer));
  return found != expirations_.end() && now < found->second;
}

std::string ExhaustedPools::encode(std::string_view customer) { return std::to_string(key(customer)); }

void ExhaustedPools::receive(std::string_view message, Duration now) {
  Key customer = 0;
  const char* const end = message.data() + message.size();
  const auto [parsed_to, error] = std::from_chars(message.data(), end, customer);
  if (error == std::errc() && parsed_to == end) insert_key(customer, now);
}

ExhaustedPools::Key ExhaustedPools::key(std::string_view customer) {
  return static_cast<Key>(fnv1a_64(customer));
}

// Removes the expired records once there are twice as many records as the last removal left, plus
// kMinimumCleanupSize. The cost of a removal is thereby spread over many insertions.
void ExhaustedPools::insert_key(Key key, Duration now) {
  expirations_[key] = now + kExhaustedDuration;
  if (expirations_.size() < 2 * size_after_cleanup_ + kMinimumCleanupSize) return;
  std::erase_if(expirations_, [now](const auto& entry) { return entry.second <= now; });
  size_after_cleanup_ = expirations_.size();
}

}  // namespace ironquay
