#include "policy/abandoned_requests.hpp"

#include <algorithm>

#include "policy/fnv1a.hpp"

namespace ironquay {
namespace {

// The memory for one request: its entry, a node of the set, and the overhead of the allocation.
constexpr std::size_t kEntryBytes = 64;

}  // namespace

AbandonedRequests::AbandonedRequests(const PolicySettings& settings, std::size_t memory_bytes)
    : settings_(settings), max_entries_(std::max<std::size_t>(1, memory_bytes / kEntryBytes)) {
  for (const Route& route : settings.routes) lifetime_ = std::max(lifetime_, route.client_timeout);
}

void AbandonedRequests::on_disconnect(std::string_view client_request_id, std::size_t route,
                                      std::size_t attempts_sent, Duration now) {
  if (attempts_sent == 0 || settings_.routes[route].idempotency == Idempotency::idempotent) return;
  if (entries_.size() >= max_entries_) forget_oldest();
  entries_.push_back({fnv1a_64(client_request_id), now + lifetime_});
  id_hashes_.insert(entries_.back().id_hash);
}

bool AbandonedRequests::contains(std::string_view client_request_id, Duration now) {
  while (!entries_.empty() && entries_.front().expires_at <= now) forget_oldest();
  return !entries_.empty() && id_hashes_.contains(fnv1a_64(client_request_id));
}

void AbandonedRequests::forget_oldest() {
  id_hashes_.erase(id_hashes_.find(entries_.front().id_hash));
  entries_.pop_front();
}

}  // namespace ironquay
