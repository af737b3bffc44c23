// FNV-1a hash functions (draft-eastlake-fnv). Unlike std::hash, they return the same value in every process,
// so that all gateways derive the same identifiers and schedules from a name.
#pragma once
#include <cstdint>
#include <string_view>

namespace ironquay {

namespace internal {

template <typename Hash>
constexpr Hash fnv1a(std::string_view text, Hash offset_basis, Hash prime) {
  Hash hash = offset_basis;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * prime;
  return hash;
}

}  // namespace internal

constexpr std::uint32_t fnv1a_32(std::string_view text) {
  return internal::fnv1a<std::uint32_t>(text, 2166136261U, 16777619U);
}

constexpr std::uint64_t fnv1a_64(std::string_view text) {
  return internal::fnv1a<std::uint64_t>(text, 14695981039346656037U, 1099511628211U);
}

}  // namespace ironquay
