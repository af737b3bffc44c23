// A histogram in which older samples have less weight: all counts are halved whenever their sum reaches a
// given number.
#pragma once
#include <cstddef>
#include <utility>
#include <vector>

namespace ironquay {

class Histogram {
 public:
  // `upper_edges` must be in ascending order. Values above the last edge count in the last bin.
  explicit Histogram(std::vector<double> upper_edges)
      : upper_edges_(std::move(upper_edges)), counts_(upper_edges_.size()) {}

  // Adds a sample, then halves all counts if their sum has reached `halving_total`.
  void add(double value, double halving_total) {
    std::size_t bin = 0;
    while (bin + 1 < upper_edges_.size() && value > upper_edges_[bin]) ++bin;
    counts_[bin] += 1;
    total_ += 1;
    if (total_ < halving_total) return;
    for (double& count : counts_) count /= 2;
    total_ /= 2;
  }

  // Approximates a quantile: returns the upper edge of the first bin up to which at least `share` of the
  // samples, from 0 to 1, lies. Returns the last edge if there are no samples.
  double quantile(double share) const {
    double cumulative_count = 0;
    for (std::size_t bin = 0; bin < counts_.size(); ++bin) {
      cumulative_count += counts_[bin];
      if (total_ > 0 && cumulative_count >= share * total_) return upper_edges_[bin];
    }
    return upper_edges_.empty() ? 0 : upper_edges_.back();
  }

 private:
  std::vector<double> upper_edges_;
  std::vector<double> counts_;  // one per bin
  double total_ = 0;            // the sum of counts_
};

}  // namespace ironquay
