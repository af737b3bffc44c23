// Sheds load when the workers as a whole (the fleet) are overloaded.
//
// Hundreds of gateways with one attempt in flight at each worker can overload the fleet, although no gateway
// can detect the overload at a single worker. Only the responses of all workers taken together show it. The
// controller therefore adapts the admitted share, which is the share of requests that may be sent to the
// workers. Responses in time raise the admitted share and slow responses lower it. A time-out or rejection
// lowers it in proportion to the share of slow responses, or by the full step if more than half of the recent
// attempts failed or were slow. As a result, no load is shed if a third of the responses are lost or a fifth
// of the workers hang, as long as the other responses are in time.
#pragma once
#include "policy/random.hpp"

namespace ironquay {

class OverloadController {
 public:
  // Records a response. `slow` is true if its latency indicates an overload.
  void record_response(bool slow);
  // Records an attempt that timed out or was rejected.
  void record_failure();
  // Records the queue rank of a request that has arrived.
  void record_rank(double queue_rank);

  // Decides at random whether a request may be sent to the workers. Requests with a lower queue rank than the
  // mean are admitted with a higher probability.
  bool admits(double queue_rank, RandomSource& random) const;
  // The share of requests of mean rank that are shed, from 0 to 1.
  double shed_share() const { return 1 - admitted_share_; }
  // The share of requests of mean rank that are admitted, from 1/64 to 1.
  double admitted_share() const { return admitted_share_; }

 private:
  // Lowers the admitted share by `step` if `lower` is true; raises it by `step` otherwise.
  void adjust(bool lower, double step);

  double admitted_share_ = 1;
  double timely_attempt_share_ = 1;  // share of recent attempts that ended with a response that was not slow
  double slow_response_share_ = 0;   // share of recent responses that were slow
  double mean_rank_ = 0;             // average queue rank of recent requests; 0: none recorded
};

}  // namespace ironquay
