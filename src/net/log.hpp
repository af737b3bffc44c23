// The log of the gateway: lines on standard error, with a rate limit.
#pragma once

namespace ironquay::net {

// Writes one line, formatted like printf() and truncated to 1023 bytes. Lines over the rate limit, and lines
// that standard error does not accept immediately, are dropped. The next line that is written gives their
// number.
void log(const char* format, ...) __attribute__((format(printf, 1, 2)));

// Like log(), for lines about single requests. They have a rate limit of their own, so that a flood of
// requests does not suppress other lines.
void log_request(const char* format, ...) __attribute__((format(printf, 1, 2)));

}  // namespace ironquay::net
