#include "net/file_descriptor.hpp"

#include <unistd.h>

namespace ironquay::net {

FileDescriptor::~FileDescriptor() {
  if (fd_ >= 0) close(fd_);
}

}  // namespace ironquay::net
