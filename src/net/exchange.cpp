#include "net/exchange.hpp"

#include <array>

namespace ironquay::net {

void Exchange::copy_buffers() {
  if (owns_buffers()) return;
  const std::array<std::string_view*, 5> words = {
      &request.command, &request.customer, &request.client_request_id, &request.attributes, &request.body};
  std::size_t total_size = 0;
  for (const std::string_view* word : words) total_size += word->size();
  buffer_.reserve(total_size);
  for (const std::string_view* word : words) buffer_.append(*word);
  std::string_view remaining = buffer_;
  for (std::string_view* word : words) {
    const std::size_t length = word->size();
    *word = remaining.substr(0, length);
    remaining.remove_prefix(length);
  }
}

}  // namespace ironquay::net
