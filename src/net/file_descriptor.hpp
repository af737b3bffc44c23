// An owning wrapper for a file descriptor.
#pragma once
#include <utility>

namespace ironquay::net {

// Closes its descriptor on destruction. Movable but not copyable. Empty if it is default-constructed, moved
// from, or constructed from a negative number, as returned by failed system calls.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  // Swaps the descriptors; `other` closes the previous one when it is destroyed.
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileDescriptor();

  // The descriptor, or -1 if empty. Ownership is not transferred.
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace ironquay::net
