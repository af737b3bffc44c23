#include "lab/report/confidence_interval.hpp"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>

namespace ironquay::lab {
namespace {

// The probability that a value lies below the upper bound of a two-sided 95% interval.
constexpr double kUpperBoundProbability = 0.975;

}  // namespace

ConfidenceInterval mean_confidence_interval(const std::vector<double>& values) {
  const auto count = static_cast<double>(values.size());
  const double degrees_of_freedom = count - 1;
  ConfidenceInterval interval;
  for (const double value : values) interval.mean += value / count;
  double variance = 0;
  for (const double value : values)
    variance += (value - interval.mean) * (value - interval.mean) / degrees_of_freedom;
  const boost::math::students_t_distribution<double> student(degrees_of_freedom);
  const double margin = boost::math::quantile(student, kUpperBoundProbability) * std::sqrt(variance / count);
  interval.low = interval.mean - margin;
  interval.high = interval.mean + margin;
  return interval;
}

}  // namespace ironquay::lab
