// Decides which further actions are allowed for a request, so that it does not take effect twice.
//
// The LoadBalancer checks these rules before it queues, sends or answers a request. The rules depend only on
// the idempotency of the route, the earlier attempts of the request and PolicySettings::capabilities.
#pragma once
#include "policy/request.hpp"
#include "policy/settings.hpp"

namespace ironquay {

// The actions that are still allowed for a request.
struct AllowedActions {
  // Another attempt may be sent.
  bool send = true;
  // The request may be rejected. A rejection promises that the client may safely send the request again.
  bool reject = true;
  // The next attempt must go to a worker that discards repeats of this attempt, which may have been executed.
  // Null if any worker may be used. Points into Request::attempts.
  const Attempt* repeated_attempt = nullptr;
};

class RetryPolicy {
 public:
  explicit RetryPolicy(const PolicySettings& settings) : settings_(settings) {}

  AllowedActions allowed_actions(const Request& request, Duration now) const;

  // Whether an attempt that was decided on earlier, but has not been written to its connection yet, may still
  // be written without the risk that the request takes effect twice. `attempt` is an index into the request's
  // attempts.
  bool may_still_send(const Request& request, std::size_t attempt, Duration now) const;

  // Whether a worker in this zone and cell discards a repeat of `attempt`.
  static bool discards_repeat(const Route& route, const Attempt& attempt, const std::string& zone,
                              std::int64_t cell);

 private:
  // The time before which a repeat of `attempt` must be sent so that the worker discards it.
  Duration dedup_deadline(const Attempt& attempt, const Route& route) const;

  const PolicySettings& settings_;
};

}  // namespace ironquay
