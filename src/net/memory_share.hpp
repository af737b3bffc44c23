// Accounting of memory that several owners use together.
#pragma once
#include <cstddef>

namespace ironquay::net {

// One owner's part of a total in bytes. The part is subtracted from the total when the object is destroyed.
class MemoryShare {
 public:
  // The total must outlive the share, or the share must be set to 0 before the total is destroyed.
  explicit MemoryShare(std::size_t& total) : total_(total) {}
  ~MemoryShare() { set(0); }
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  std::size_t bytes() const { return bytes_; }
  void set(std::size_t bytes) {
    if (bytes == bytes_) return;
    total_ += bytes - bytes_;
    bytes_ = bytes;
  }
  void add(std::size_t bytes) { set(bytes_ + bytes); }
  void subtract(std::size_t bytes) { set(bytes_ - bytes); }

 private:
  std::size_t& total_;
  std::size_t bytes_ = 0;
};

}  // namespace ironquay::net
