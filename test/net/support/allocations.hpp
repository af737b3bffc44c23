// Counts the memory that the test program allocates with operator new.
#pragma once
#include <cstddef>

namespace ironquay::net {

/// The bytes that are allocated now.
std::size_t allocated_memory();
/// The largest value of allocated_memory() since the last call of reset_peak_allocated_memory().
std::size_t peak_allocated_memory();
void reset_peak_allocated_memory();

}  // namespace ironquay::net
