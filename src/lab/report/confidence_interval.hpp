// Confidence intervals of means.
#pragma once
#include <vector>

namespace ironquay::lab {

struct ConfidenceInterval {
  double mean = 0;
  double low = 0;   // lower bound
  double high = 0;  // upper bound
  bool contains_zero() const { return low <= 0 && high >= 0; }
};

// Returns the 95% confidence interval of the mean of the values' distribution, based on Student's t
// distribution. Requires at least two values.
ConfidenceInterval mean_confidence_interval(const std::vector<double>& values);

}  // namespace ironquay::lab
