#include "net/write_queue.hpp"

#include <utility>

#include "net/buffer_memory.hpp"

namespace ironquay::net {
namespace {

// Bytes are copied behind the last segment while it stays within this size, so that a segment holds many
// small responses.
constexpr std::size_t kSharedSegmentBytes = std::size_t{16} * 1024;
// The memory for a segment besides its bytes: the list node with the overhead of two allocations.
constexpr std::size_t kSegmentOverheadBytes = sizeof(std::string) + 4 * sizeof(void*);

std::size_t memory_of(const std::string& segment) { return allocated_bytes(segment) + kSegmentOverheadBytes; }

}  // namespace

void WriteQueue::append(std::string_view bytes) {
  if (bytes.empty()) return;
  const bool fits = !segments_.empty() && segments_.back().size() + bytes.size() <= kSharedSegmentBytes;
  if (!fits) return append_segment(std::string(bytes));
  std::string& last = segments_.back();
  allocated_bytes_ -= memory_of(last);
  last.append(bytes);
  allocated_bytes_ += memory_of(last);
  bytes_ += bytes.size();
}

void WriteQueue::append(std::string&& bytes) {
  if (bytes.size() <= kSharedSegmentBytes) return append(std::string_view(bytes));
  append_segment(std::move(bytes));
}

void WriteQueue::append_segment(std::string&& segment) {
  bytes_ += segment.size();
  segments_.push_back(std::move(segment));
  allocated_bytes_ += memory_of(segments_.back());
}

std::size_t WriteQueue::describe_front(std::span<iovec> parts) const {
  std::size_t count = 0;
  std::size_t offset = front_offset_;
  for (auto segment = segments_.begin(); segment != segments_.end() && count < parts.size(); ++segment) {
    char* const first = const_cast<char*>(segment->data()) + offset;
    parts[count++] = {first, segment->size() - offset};
    offset = 0;
  }
  return count;
}

void WriteQueue::remove_front(std::size_t bytes) {
  bytes_ -= bytes;
  front_offset_ += bytes;
  while (!segments_.empty() && front_offset_ >= segments_.front().size()) {
    front_offset_ -= segments_.front().size();
    allocated_bytes_ -= memory_of(segments_.front());
    segments_.pop_front();
  }
}

void WriteQueue::clear() {
  segments_.clear();
  front_offset_ = 0;
  bytes_ = 0;
  allocated_bytes_ = 0;
}

}  // namespace ironquay::net
