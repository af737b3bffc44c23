// Reads runs back and says what they show: over seeds, and between variants of one scenario.
#pragma once
#include <ostream>
#include <string>
#include <vector>

namespace ironquay::lab {

struct Interval {
  double mean = 0;
  double low = 0;
  double high = 0;
};
// Of the mean, with 95% confidence, by Student's distribution. Two values at least.
Interval interval_of(const std::vector<double>& values);

// Writes tables as Markdown; with a folder, data and a gnuplot file for each scenario there too. Throws
// std::runtime_error with file, line and reason where a run cannot be read. Returns the exit code.
int report_on(const std::vector<std::string>& files, const std::string& plots, std::ostream& out);

}  // namespace ironquay::lab
