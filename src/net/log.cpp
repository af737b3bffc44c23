#include "net/log.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>

namespace ironquay::net {
namespace {

// The rate limit of the log. A deployment closes a few hundred connections at the same time, which the burst
// covers. Lines over these limits would add no information.
constexpr double kBurstLines = 400;
constexpr double kLinesPerSecond = 40;
constexpr std::size_t kMaxLineBytes = 1024;

// A token bucket that holds one token per line.
class LineBudget {
 public:
  // Adds the tokens of the time since the last call. Returns whether there is a token now.
  bool refill_and_check() {
    const auto now = Clock::now();
    const double elapsed_seconds = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(kBurstLines, tokens_ + kLinesPerSecond * elapsed_seconds);
    refilled_at_ = now;
    return tokens_ >= 1;
  }
  void take_token() { tokens_ -= 1; }

 private:
  using Clock = std::chrono::steady_clock;
  double tokens_ = kBurstLines;
  Clock::time_point refilled_at_ = Clock::now();
};

// Whether standard error accepts a line without blocking: a reader of the log that has stopped reading must
// not block the gateway. A pipe that poll() reports as writable accepts a whole line.
bool can_write_line() {
  pollfd standard_error{STDERR_FILENO, POLLOUT, 0};
  return poll(&standard_error, 1, 0) == 1 && (standard_error.revents & POLLOUT);
}

}  // namespace

void log(const char* format, ...) {
  static LineBudget budget;
  static unsigned long dropped_lines = 0;
  if (!budget.refill_and_check() || !can_write_line()) {
    ++dropped_lines;
    return;
  }
  budget.take_token();
  char line[kMaxLineBytes];
  va_list values;
  va_start(values, format);
  vsnprintf(line, sizeof line, format, values);
  va_end(values);
  if (dropped_lines > 0) {
    fprintf(stderr, "ironquay: %s (%lu lines suppressed)\n", line, dropped_lines);
  } else {
    fprintf(stderr, "ironquay: %s\n", line);
  }
  dropped_lines = 0;
}

}  // namespace ironquay::net
