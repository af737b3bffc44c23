// The one way out for log lines.
#pragma once

namespace ironquay::net {

// One line on standard error. Lines beyond the rate are counted, and the next line says how many there were.
void log(const char* format, ...) __attribute__((format(printf, 1, 2)));

}  // namespace ironquay::net
