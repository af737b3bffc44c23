// The memory of strings that are used as buffers.
#pragma once
#include <cstddef>
#include <string>

namespace ironquay::net {

// Empties the buffer and frees its memory. Assigning an empty string would keep the memory allocated.
inline void release_memory(std::string& buffer) { std::string().swap(buffer); }

// Returns the memory in bytes that the buffer has allocated. A short string is stored in the object itself.
inline std::size_t allocated_bytes(const std::string& buffer) {
  const std::size_t inline_capacity = std::string().capacity();
  return buffer.capacity() > inline_capacity ? buffer.capacity() : 0;
}

}  // namespace ironquay::net
