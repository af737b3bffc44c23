// System calls that may be interrupted by a signal or fail for a moment.
#pragma once
#include <cerrno>

namespace ironquay::net {

// Calls `call` again while a signal interrupts it. Returns its result, which is negative if it has failed.
template <typename Call>
auto retry_interrupted(Call call) {
  decltype(call()) result;
  do {
    result = call();
  } while (result < 0 && errno == EINTR);
  return result;
}

// Whether this machine lacks memory or descriptors. Such an error passes, and says nothing about a peer.
constexpr bool is_resource_shortage(int error) {
  return error == ENOMEM || error == ENOBUFS || error == ENFILE || error == EMFILE;
}

}  // namespace ironquay::net
