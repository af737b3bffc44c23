// Remembers the requests whose clients disconnected while a worker may have executed them, and that must not
// be executed again. If such a request arrives once more under its id, forwarding it would execute it twice.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

#include "policy/settings.hpp"

namespace ironquay {

class AbandonedRequests {
 public:
  // `settings` must outlive this object. At most about `memory_bytes` of memory are used; if more requests
  // are abandoned, the oldest ones are forgotten first.
  AbandonedRequests(const PolicySettings& settings, std::size_t memory_bytes);

  // The client of a request has disconnected. `attempts_sent`: the number of attempts sent to workers.
  void on_disconnect(std::string_view client_request_id, std::size_t route, std::size_t attempts_sent,
                     Duration now);
  // Whether a request with this id must not be forwarded. Requests are remembered for the longest client
  // timeout.
  bool contains(std::string_view client_request_id, Duration now);

 private:
  struct Entry {
    std::uint64_t id_hash = 0;
    Duration expires_at{0};
  };

  void forget_oldest();

  const PolicySettings& settings_;
  std::size_t max_entries_;
  Duration lifetime_{0};
  std::deque<Entry> entries_;  // the oldest one first
  std::unordered_multiset<std::uint64_t> id_hashes_;
};

}  // namespace ironquay
