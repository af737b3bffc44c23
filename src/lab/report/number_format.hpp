// The number format of the report.
#pragma once
#include <cstdio>
#include <string>

namespace ironquay::lab {

// Formats a number with three decimal places.
inline std::string format_number(double value) {
  char digits[32];
  std::snprintf(digits, sizeof digits, "%.3f", value);
  return digits;
}

}  // namespace ironquay::lab
