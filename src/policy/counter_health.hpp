// The health of the counter service, which limits how often this gateway calls it.
//
// While the counter is silent, unreachable or rejects calls, no calls are made for a back-off time that
// doubles with each failure. While it answers slowly, only a share of the requests that need it call it.
#pragma once
#include "policy/types.hpp"

namespace ironquay {

class CounterHealth {
 public:
  // `timeout`: time after which an unanswered call counts as failed.
  explicit CounterHealth(Duration timeout) : timeout_(timeout) {}

  // Records the result of a call that was sent at `sent_at` and ended at `now`.
  void record(Outcome outcome, Duration sent_at, Duration now);

  // Whether calls may be made at `now`.
  bool available(Duration now) const { return now >= unavailable_until_; }
  // Of the requests that need the counter, the share that may call it, from 1/64 to 1.
  double call_share() const { return call_share_; }
  void set_call_share(double share) { call_share_ = share; }
  // The time without calls after the last failure; zero while the counter answers.
  Duration backoff() const { return backoff_; }
  Duration unavailable_until() const { return unavailable_until_; }

 private:
  Duration timeout_;
  Duration backoff_{0};
  Duration unavailable_until_{0};
  double call_share_ = 1;
};

}  // namespace ironquay
