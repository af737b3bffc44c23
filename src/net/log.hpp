// The log of the gateway: lines on standard error, with a rate limit.
#pragma once

namespace ironquay::net {

// Writes one line, formatted like printf() and truncated to 1023 bytes. Lines over the rate limit, and lines
// that standard error does not accept immediately, are dropped. The next line that is written gives their
// number.
void log(const char* format, ...) __attribute__((format(printf, 1, 2)));

}  // namespace ironquay::net
