// Reproducible random numbers for the laboratory's models.
#pragma once
#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

#include "policy/types.hpp"

namespace ironquay::lab {

// The random numbers of one model. Every model has a stream of its own, so that a change in one model does
// not change the numbers that other models draw.
class RandomStream {
 public:
  // The seed of the run and the name of the model together determine the sequence of numbers.
  RandomStream(std::uint32_t seed, std::string_view model) {
    std::vector<std::uint32_t> words(model.begin(), model.end());
    words.push_back(seed);
    std::seed_seq sequence(words.begin(), words.end());
    engine_.seed(sequence);
  }

  // Draws a number that is uniformly distributed in [0, 1).
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(engine_); }
  // Draws an exponentially distributed number with this mean.
  double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(engine_); }
  // Draws an integer that is uniformly distributed in [0, bound). `bound` must not be zero.
  std::size_t below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine_);
  }
  // Draws the index of an item. The probability of each item is proportional to `weight(item)`.
  template <typename Items, typename Weight>
  std::size_t weighted_index(const Items& items, Weight weight) {
    double total = 0;
    for (const auto& item : items) total += weight(item);
    double position = uniform() * total;
    std::size_t index = 0;
    for (; index + 1 < items.size() && position >= weight(items[index]); ++index)
      position -= weight(items[index]);
    return index;
  }
  // Returns true with the given probability.
  bool chance(double probability) { return uniform() < probability; }
  // Draws a duration that is uniformly distributed in [0.5 * mean, 1.5 * mean).
  Duration jittered(Duration mean) { return std::chrono::duration_cast<Duration>(mean * (0.5 + uniform())); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace ironquay::lab
