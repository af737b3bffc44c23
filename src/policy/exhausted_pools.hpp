// The customers whose shared pool of quota is known to be exhausted, either from this gateway's own calls to
// the counter or from gossip.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "policy/types.hpp"

namespace ironquay {

class ExhaustedPools {
 public:
  // Whether the customer's pool is known to be exhausted at `now`.
  bool contains(std::string_view customer, Duration now) const;
  // Records that the customer's pool is exhausted. The record expires after 8 s.
  void insert(std::string_view customer, Duration now) { insert_key(key(customer), now); }
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

  std::unordered_map<Key, Duration> expirations_;  // times at which the records expire
  std::size_t size_after_cleanup_ = 0;             // records left by the last removal of expired ones
};

}  // namespace ironquay
