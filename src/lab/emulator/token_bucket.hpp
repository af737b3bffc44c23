// A token bucket, with which the emulator measures customers' use of their quotas and limits rates.
#pragma once
#include <algorithm>

#include "policy/duration.hpp"

namespace ironquay::lab {

class TokenBucket {
 public:
  // An empty bucket that is never refilled.
  TokenBucket() = default;
  // `rate` is in tokens per second; `capacity` is the largest number of tokens that the bucket holds;
  // `tokens` is the number that it holds at `now`.
  TokenBucket(double rate, double capacity, double tokens, Duration now)
      : rate_(rate), capacity_(capacity), tokens_(tokens), refilled_at_(now) {}

  // Adds the tokens that have accrued since the last refill, up to the capacity.
  void refill(Duration now) {
    tokens_ = std::min(capacity_, tokens_ + rate_ * to_seconds(now - refilled_at_));
    refilled_at_ = now;
  }
  // Takes `tokens` tokens and returns true if the bucket holds that many. Otherwise takes none and returns
  // false. Does not refill the bucket.
  bool try_take(double tokens) {
    if (tokens_ < tokens) return false;
    tokens_ -= tokens;
    return true;
  }
  // Takes `tokens` tokens even if the number in the bucket becomes negative. Does not refill the bucket.
  void take(double tokens) { tokens_ -= tokens; }
  // The number of tokens after the last refill or take; negative if more was taken than the bucket held.
  double tokens() const { return tokens_; }

 private:
  double rate_ = 0;
  double capacity_ = 0;
  double tokens_ = 0;
  Duration refilled_at_{0};
};

}  // namespace ironquay::lab
