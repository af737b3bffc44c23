// Quantiles of measured values.
#pragma once
#include <algorithm>
#include <cstddef>
#include <vector>

namespace ironquay::lab {

// The quantile for a probability between 0 and 1 of values in ascending order, without interpolation: the
// result is one of the values, or 0 if there are none.
inline double sorted_quantile(const std::vector<double>& sorted, double probability) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(probability * static_cast<double>(sorted.size()));
  return sorted[std::min(sorted.size() - 1, index)];
}

// The quantile for a probability between 0 and 1 of values in any order, with linear interpolation between
// neighbouring values. There must be at least one value.
inline double interpolated_quantile(std::vector<double> values, double probability) {
  std::sort(values.begin(), values.end());
  const double position = probability * static_cast<double>(values.size() - 1);
  const auto index = static_cast<std::size_t>(position);
  const double next_value = values[std::min(index + 1, values.size() - 1)];
  return values[index] + (next_value - values[index]) * (position - static_cast<double>(index));
}

}  // namespace ironquay::lab
