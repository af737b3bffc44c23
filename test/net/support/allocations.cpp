#include "allocations.hpp"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace ironquay::net {
namespace {

std::atomic<std::size_t> allocated{0};
std::atomic<std::size_t> peak{0};

}  // namespace

std::size_t allocated_memory() { return allocated; }
std::size_t peak_allocated_memory() { return peak; }
void reset_peak_allocated_memory() { peak = allocated.load(); }

}  // namespace ironquay::net

// The sanitizers have a nothrow form of their own, whose memory must not reach the operator delete below.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  void* const memory = std::malloc(size);
  if (!memory) return nullptr;
  const std::size_t now = ironquay::net::allocated += malloc_usable_size(memory);
  if (now > ironquay::net::peak) ironquay::net::peak = now;
  return memory;
}
void* operator new(std::size_t size) {
  void* const memory = operator new(size, std::nothrow);
  if (!memory) throw std::bad_alloc();
  return memory;
}
void* operator new[](std::size_t size) { return operator new(size); }
void* operator new[](std::size_t size, const std::nothrow_t& tag) noexcept { return operator new(size, tag); }

void operator delete(void* memory) noexcept {
  if (memory) ironquay::net::allocated -= malloc_usable_size(memory);
  std::free(memory);
}
void operator delete[](void* memory) noexcept { operator delete(memory); }
void operator delete(void* memory, std::size_t) noexcept { operator delete(memory); }
void operator delete[](void* memory, std::size_t) noexcept { operator delete(memory); }
void operator delete(void* memory, const std::nothrow_t&) noexcept { operator delete(memory); }
void operator delete[](void* memory, const std::nothrow_t&) noexcept { operator delete(memory); }
