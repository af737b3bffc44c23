// A library that is preloaded into a gateway and makes its system calls fail in the ways that Linux
// documents. It also shifts the wall clock of the process. Controlled by environment variables:
//   FAULT_SHIM_CALLS   the kinds of faults, separated by commas (see kKinds)
//   FAULT_SHIM_SEED    the seed of the random numbers
//   FAULT_SHIM_ONE_IN  a call fails with the probability one in this number; default 5
//   FAULT_SHIM_CLOCK   a file with one 64-bit integer, the shift of the wall clock in milliseconds. It may
//   change
//                      at any time.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <bitset>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <initializer_list>

namespace {

enum Kind : unsigned {
  short_io,
  eintr_read,
  eintr_write,
  eintr_wait,
  accept_fails,
  connect_fails,
  socket_fails,
  epoll_ctl_fails,
  broken_connections,
  no_memory,
  kKindCount
};
constexpr std::array<const char*, kKindCount> kKinds = {"short",  "eintr-read", "eintr-write", "eintr-wait",
                                                        "accept", "connect",    "socket",      "epoll-ctl",
                                                        "broken", "memory"};
// A broken connection ends the attempt on it, so such faults are rarer than the others.
constexpr std::uint64_t kBrokenDivisor = 40;
constexpr std::size_t kMaxDescriptors = 4096;

struct Shim {
  std::bitset<kKindCount> kinds;
  std::uint64_t random = 1;
  std::uint64_t one_in = 5;
  const volatile std::int64_t* clock_shift_ms = nullptr;
  std::bitset<kMaxDescriptors> outgoing;  // the sockets that this process has connected

  Shim() {
    const char* calls = getenv("FAULT_SHIM_CALLS");
    for (unsigned kind = 0; calls && kind < kKindCount; ++kind)
      kinds[kind] = strstr(calls, kKinds[kind]) != nullptr;
    if (const char* seed = getenv("FAULT_SHIM_SEED"))
      random = 0x9e3779b97f4a7c15u ^ strtoull(seed, nullptr, 10);
    if (const char* rate = getenv("FAULT_SHIM_ONE_IN")) one_in = strtoull(rate, nullptr, 10);
    map_clock();
  }
  void map_clock() {
    const char* path = getenv("FAULT_SHIM_CLOCK");
    const int fd = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0) return;
    void* const shared = mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, fd, 0);
    if (shared != MAP_FAILED) clock_shift_ms = static_cast<const volatile std::int64_t*>(shared);
    close(fd);
  }
  std::uint64_t next() {
    random ^= random << 13;
    random ^= random >> 7;
    return random ^= random << 17;
  }
  bool fires(Kind kind, std::uint64_t divisor = 1) { return kinds[kind] && next() % (one_in * divisor) == 0; }
  // Sets errno to one of `errors` and returns true, if a fault of this kind occurs now.
  bool fails(Kind kind, std::initializer_list<int> errors) {
    if (!fires(kind)) return false;
    errno = errors.begin()[next() % errors.size()];
    return true;
  }
  // Breaks an outgoing connection, as a peer that can no longer be reached does.
  bool breaks(int fd) {
    if (fd < 0 || fd >= static_cast<int>(kMaxDescriptors) || !outgoing[static_cast<std::size_t>(fd)])
      return false;
    if (!fires(broken_connections, kBrokenDivisor)) return false;
    shutdown(fd, SHUT_RDWR);
    errno = next() % 2 ? ETIMEDOUT : EHOSTUNREACH;
    return true;
  }
  void set_outgoing(int fd, bool value) {
    if (fd >= 0 && fd < static_cast<int>(kMaxDescriptors)) outgoing[static_cast<std::size_t>(fd)] = value;
  }
  // Returns a length from 1 to `size`.
  std::size_t shortened(std::size_t size) {
    return fires(short_io) && size > 1 ? 1 + next() % (size - 1) : size;
  }
};

Shim& shim() {
  static Shim instance;
  return instance;
}

template <typename Function>
Function* real(Function*, const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}
#define REAL(function)                                       \
  ([] {                                                      \
    static auto* const found = real(&::function, #function); \
    return found;                                            \
  }())

}  // namespace

extern "C" {

ssize_t recv(int fd, void* buffer, std::size_t size, int flags) {
  if (shim().fails(eintr_read, {EINTR}) || shim().fails(no_memory, {ENOMEM}) || shim().breaks(fd)) return -1;
  return REAL(recv)(fd, buffer, shim().shortened(size), flags);
}

ssize_t recvfrom(int fd, void* __restrict buffer, std::size_t size, int flags,
                 struct sockaddr* __restrict address, socklen_t* __restrict length) {
  if (shim().fails(eintr_read, {EINTR}) || shim().fails(no_memory, {ENOMEM})) return -1;
  return REAL(recvfrom)(fd, buffer, size, flags, address, length);
}

ssize_t read(int fd, void* buffer, std::size_t size) {
  if (shim().fails(eintr_read, {EINTR})) return -1;
  return REAL(read)(fd, buffer, size);
}

ssize_t send(int fd, const void* buffer, std::size_t size, int flags) {
  if (shim().fails(eintr_write, {EINTR}) || shim().fails(no_memory, {ENOMEM, ENOBUFS}) || shim().breaks(fd))
    return -1;
  return REAL(send)(fd, buffer, shim().shortened(size), flags);
}

ssize_t sendmsg(int fd, const struct msghdr* message, int flags) {
  if (shim().fails(eintr_write, {EINTR}) || shim().fails(no_memory, {ENOMEM, ENOBUFS}) || shim().breaks(fd))
    return -1;
  if (message->msg_iovlen == 0 || !shim().fires(short_io)) return REAL(sendmsg)(fd, message, flags);
  iovec first = message->msg_iov[0];
  if (first.iov_len > 1) first.iov_len = 1 + shim().next() % (first.iov_len - 1);
  msghdr shortened = *message;
  shortened.msg_iov = &first;
  shortened.msg_iovlen = 1;
  return REAL(sendmsg)(fd, &shortened, flags);
}

ssize_t sendto(int fd, const void* buffer, std::size_t size, int flags, const struct sockaddr* address,
               socklen_t length) {
  if (shim().fails(eintr_write, {EINTR}) || shim().fails(no_memory, {ENOMEM, ENOBUFS})) return -1;
  return REAL(sendto)(fd, buffer, size, flags, address, length);
}

int epoll_wait(int epoll, struct epoll_event* events, int count, int timeout) {
  if (shim().fails(eintr_wait, {EINTR})) return -1;
  return REAL(epoll_wait)(epoll, events, count, timeout);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event* event) noexcept {
  if (operation == EPOLL_CTL_ADD && shim().fails(epoll_ctl_fails, {ENOMEM, ENOSPC})) return -1;
  return REAL(epoll_ctl)(epoll, operation, fd, event);
}

int accept4(int fd, struct sockaddr* __restrict address, socklen_t* __restrict length, int flags) {
  if (shim().fails(accept_fails,
                   {EINTR, ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EHOSTUNREACH}))
    return -1;
  const int accepted = REAL(accept4)(fd, address, length, flags);
  shim().set_outgoing(accepted, false);
  return accepted;
}

int socket(int domain, int type, int protocol) noexcept {
  if (shim().fails(socket_fails, {ENFILE, EMFILE, ENOBUFS, ENOMEM})) return -1;
  const int created = REAL(socket)(domain, type, protocol);
  shim().set_outgoing(created, false);
  return created;
}

int connect(int fd, const struct sockaddr* address, socklen_t length) {
  if (shim().fails(connect_fails, {EINTR, EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN})) return -1;
  shim().set_outgoing(fd, true);
  return REAL(connect)(fd, address, length);
}

int clock_gettime(clockid_t clock, struct timespec* time) noexcept {
  const int result = REAL(clock_gettime)(clock, time);
  const bool is_wall_clock = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
  if (result == 0 && is_wall_clock && shim().clock_shift_ms) {
    const std::int64_t shift = *shim().clock_shift_ms;
    time->tv_sec += shift / 1000;
    time->tv_nsec += shift % 1000 * 1000000;
    if (time->tv_nsec < 0) --time->tv_sec, time->tv_nsec += 1000000000;
    if (time->tv_nsec >= 1000000000) ++time->tv_sec, time->tv_nsec -= 1000000000;
  }
  return result;
}

int gettimeofday(struct timeval* __restrict time, void* __restrict) noexcept {
  timespec now{};
  const int result = clock_gettime(CLOCK_REALTIME, &now);
  time->tv_sec = now.tv_sec;
  time->tv_usec = now.tv_nsec / 1000;
  return result;
}

}  // extern "C"
