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
// The rate limit of the lines about single requests.
constexpr double kRequestBurstLines = 100;
constexpr double kRequestLinesPerSecond = 10;
constexpr std::size_t kMaxLineBytes = 1024;

// A token bucket that holds one token per line.
class LineBudget {
 public:
  LineBudget(double burst_lines, double lines_per_second)
      : burst_lines_(burst_lines), lines_per_second_(lines_per_second), tokens_(burst_lines) {}

  // Adds the tokens of the time since the last call. Returns whether there is a token now.
  bool refill_and_check() {
    const auto now = Clock::now();
    const double elapsed_seconds = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(burst_lines_, tokens_ + lines_per_second_ * elapsed_seconds);
    refilled_at_ = now;
    return tokens_ >= 1;
  }
  void take_token() { tokens_ -= 1; }

 private:
  using Clock = std::chrono::steady_clock;
  double burst_lines_;
  double lines_per_second_;
  double tokens_;
  Clock::time_point refilled_at_ = Clock::now();
};

// Whether standard error accepts a line without blocking: a reader of the log that has stopped reading must
// not block the gateway. A pipe that poll() reports as writable accepts a whole line.
bool can_write_line() {
  pollfd standard_error{STDERR_FILENO, POLLOUT, 0};
  return poll(&standard_error, 1, 0) == 1 && (standard_error.revents & POLLOUT);
}

// Writes lines within a budget and counts those that it drops.
class LineWriter {
 public:
  LineWriter(double burst_lines, double lines_per_second) : budget_(burst_lines, lines_per_second) {}

  void write(const char* format, va_list values) {
    if (!budget_.refill_and_check() || !can_write_line()) {
      ++dropped_lines_;
      return;
    }
    budget_.take_token();
    char line[kMaxLineBytes];
    vsnprintf(line, sizeof line, format, values);
    if (dropped_lines_ > 0) {
      fprintf(stderr, "ironquay: %s (%lu lines suppressed)\n", line, dropped_lines_);
    } else {
      fprintf(stderr, "ironquay: %s\n", line);
    }
    dropped_lines_ = 0;
  }

 private:
  LineBudget budget_;
  unsigned long dropped_lines_ = 0;
};

}  // namespace

void log(const char* format, ...) {
  static LineWriter writer(kBurstLines, kLinesPerSecond);
  va_list values;
  va_start(values, format);
  writer.write(format, values);
  va_end(values);
}

void log_request(const char* format, ...) {
  static LineWriter writer(kRequestBurstLines, kRequestLinesPerSecond);
  va_list values;
  va_start(values, format);
  writer.write(format, values);
  va_end(values);
}

}  // namespace ironquay::net
