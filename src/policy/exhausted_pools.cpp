#include "policy/exhausted_pools.hpp"

#include <algorithm>
#include <charconv>

#include "policy/fnv1a.hpp"

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// The time after which a record expires. It is longer than most bursts of requests, so that a gateway rarely
// needs to announce the same exhausted pool again.
constexpr Duration kExhaustedDuration = 8s;
// Expired records are not removed while there are fewer records than this number.
constexpr std::size_t kMinCleanupSize = 64;

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

// Removes the expired records when the number of records has reached twice the number after the last removal,
// plus kMinCleanupSize. The cost of a removal is thus distributed over many insertions.
void ExhaustedPools::insert_key(Key key, Duration now) {
  if (expirations_.size() < max_records_ || expirations_.contains(key))
    expirations_[key] = now + kExhaustedDuration;
  const std::size_t cleanup_size = std::min(2 * size_after_cleanup_ + kMinCleanupSize, max_records_);
  if (expirations_.size() < cleanup_size) return;
  std::erase_if(expirations_, [now](const auto& entry) { return entry.second <= now; });
  size_after_cleanup_ = expirations_.size();
}

}  // namespace ironquay
