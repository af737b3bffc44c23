// The pseudo-random generator for all of a gateway's decisions. It is seeded once, so that the decisions can
// be replayed with the same seed and the same events.
#pragma once
#include <cstddef>
#include <random>

namespace ironquay {

class RandomSource {
 public:
  explicit RandomSource(std::uint32_t seed) : engine_(seed) {}

  // Returns true with the given probability, from 0 to 1.
  bool chance(double probability) {
    return static_cast<double>(engine_()) <= probability * static_cast<double>(std::ranlux24_base::max());
  }
  // Returns a number from 0 to `count` - 1. `count` must not be 0.
  std::size_t below(std::size_t count) { return engine_() % count; }

 private:
  std::ranlux24_base engine_;
};

}  // namespace ironquay
