// Records the customers whose shared pool of quota is exhausted. The gateway learns this from its own calls
// to the counter and from the gossip of other gateways.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "policy/types.hpp"

namespace ironquay {

class ExhaustedPools {
 public:
  // No more than `max_records` are kept. Further ones are not recorded; the gateway then asks the counter.
  explicit ExhaustedPools(std::size_t max_records) : max_records_(max_records) {}

  // Whether there is an unexpired record that the customer's pool is exhausted.
  bool contains(std::string_view customer, Duration now) const;
  // Records that the customer's pool is exhausted. The record expires after 8 s.
  void insert(std::string_view customer, Duration now) { insert_key(key(customer), now); }
  // Removes the customer's record.
  void erase(std::string_view customer) { expirations_.erase(key(customer)); }

  // Returns the gossip message that announces that the customer's pool is exhausted.
  static std::string encode(std::string_view customer);
  // Records the customer that a gossip message announces. Malformed messages are ignored.
  void receive(std::string_view message, Duration now);

 private:
  // A hash of the customer, which is the same at every gateway. It takes at most ten digits in a message.
  using Key = std::uint32_t;
  static Key key(std::string_view customer);
  void insert_key(Key key, Duration now);

  std::size_t max_records_;
  std::unordered_map<Key, Duration> expirations_;  // times at which the records expire
  std::size_t size_after_cleanup_ = 0;             // number of records after expired ones were last removed
};

}  // namespace ironquay
