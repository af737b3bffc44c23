// Tracks the health of the counter service ("the counter") and limits how often this gateway calls it.
//
// After a call that times out, cannot connect or is rejected, the gateway makes no calls for a back-off time,
// which doubles with each failure. After slow replies and failures, only a share of the requests that need
// the counter call it.
#pragma once
#include "policy/types.hpp"

namespace ironquay {

class CounterHealth {
 public:
  // `timeout`: time after which a call without a reply counts as failed.
  explicit CounterHealth(Duration timeout) : timeout_(timeout) {}

  // Records the result of a call that was sent at `sent_at` and ended at `now`.
  void record(Outcome outcome, Duration sent_at, Duration now);

  // Whether calls may be made at `now`.
  bool available(Duration now) const { return now >= unavailable_until_; }
  // The share of requests that may call the counter, among the requests that need it; from 1/64 to 1.
  double call_share() const { return call_share_; }
  // Replaces the current share.
  void set_call_share_for_testing(double share) { call_share_ = share; }
  // The time for which no calls are made after the last failure; zero if the last call succeeded.
  Duration backoff() const { return backoff_; }
  // The time from which calls may be made again after the last failure.
  Duration unavailable_until() const { return unavailable_until_; }

 private:
  Duration timeout_;
  Duration backoff_{0};
  Duration unavailable_until_{0};
  double call_share_ = 1;
};

}  // namespace ironquay
