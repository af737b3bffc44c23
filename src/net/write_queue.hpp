// The bytes that a connection has to write and that the system has not accepted yet.
#pragma once
#include <sys/uio.h>

#include <cstddef>
#include <list>
#include <span>
#include <string>
#include <string_view>

namespace ironquay::net {

// A queue of bytes in segments. A segment never moves, and its memory is freed when all of it is removed, so
// that a long queue needs no larger memory while it grows or shrinks.
class WriteQueue {
 public:
  // Appends a copy of the bytes.
  void append(std::string_view bytes);
  // Appends the bytes. Takes over the buffer unless it is small.
  void append(std::string&& bytes);
  // Describes the first bytes of the queue in at most `parts.size()` parts. Returns the number of parts.
  std::size_t describe_front(std::span<iovec> parts) const;
  // Removes this many bytes from the front.
  void remove_front(std::size_t bytes);
  void clear();

  bool empty() const { return bytes_ == 0; }
  std::size_t bytes() const { return bytes_; }
  // The memory in bytes that the queue has allocated.
  std::size_t allocated_bytes() const { return allocated_bytes_; }

 private:
  void append_segment(std::string&& segment);

  std::list<std::string> segments_;
  std::size_t front_offset_ = 0;  // bytes of the first segment that are removed already
  std::size_t bytes_ = 0;
  std::size_t allocated_bytes_ = 0;
};

}  // namespace ironquay::net
