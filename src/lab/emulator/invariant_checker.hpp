// Checks five guarantees of the gateways. It uses only what can be observed from outside of the gateways.
//
// - One final answer: every request receives exactly one response, before its client times out.
// - No duplicate effect: a request that may have been executed is not executed again, unless its route is
//   idempotent or the worker discards the repeat.
// - Draining honoured: a gateway sends nothing to a worker that it knows to be draining or gone.
// - Slow start honoured: a worker that has started recently is not overloaded.
// - Ceilings kept: no customer exceeds the ceiling of its plan.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "lab/emulator/token_bucket.hpp"
#include "lab/scenario/scenario.hpp"
#include "policy/types.hpp"

namespace ironquay::lab {

struct InvariantViolation {
  Duration when{0};
  std::string rule;       // the violated rule and how it was violated; part of the program's output
  RequestId request = 0;  // 0: the violation concerns no particular request
  int worker = -1;        // index of the worker; -1: the violation concerns no particular worker
};

// The properties of a request that the invariants depend on. The identifier is unique over all gateways.
// Every client retry is a request of its own.
struct ReceivedRequest {
  RequestId id = 0;
  std::size_t route = 0;  // index into PolicySettings::routes
  std::size_t plan = 0;   // index into PolicySettings::plans
  int customer = 0;       // index of the customer
  double units = 0;
  Duration client_timeout{0};  // time from now until the client times out
};

class InvariantChecker {
 public:
  // `scenario` must outlive the checker.
  explicit InvariantChecker(const Scenario& scenario) : scenario_(scenario) {}

  // A gateway has received a request.
  void on_request_received(Duration now, const ReceivedRequest& request);
  // A gateway has responded to a request. A `rejected` response tells the client that it may safely send the
  // request again.
  void on_response(Duration now, RequestId id, bool rejected);
  // The gateway has crashed or the client has disconnected, so that the request no longer needs a response.
  void on_request_dropped(RequestId id);
  // A gateway has sent an attempt to a worker of this cell.
  void on_attempt_sent(Duration now, RequestId id, int gateway, int worker, int cell);
  // An attempt has ended. `attempt_index` is its index among the attempts of the request.
  void on_attempt_end(RequestId id, std::size_t attempt_index, bool may_have_executed);
  // A gateway has received the status of a worker.
  void on_endpoint_update(Duration now, int gateway, int worker, WorkerStatus status);
  // A gateway has crashed. It no longer knows which workers are draining or gone.
  void on_gateway_crash(int gateway);
  // A worker has started and is warming up.
  void on_worker_start(Duration now, int worker);
  // An attempt has arrived at a running worker.
  void on_worker_arrival(Duration now, int worker);
  // Reports the requests whose clients have timed out before `now` without a response.
  void check_deadlines(Duration now);

  // The first violation, if any. Later violations are not recorded.
  const std::optional<InvariantViolation>& violation() const { return violation_; }
  // The highest number of arrivals at a warming-up worker within one overload window, divided by the allowed
  // number.
  double peak_slow_start_load() const { return peak_slow_start_load_; }

 private:
  struct Attempt {
    Duration sent_at{0};
    int cell = 0;
    bool in_flight = true;
    bool may_have_executed = true;
  };
  struct OpenRequest {
    std::size_t route = 0;
    std::size_t plan = 0;
    int customer = 0;
    double units = 0;
    Duration deadline{0};
    std::vector<Attempt> attempts;
    bool response_pending = true;
  };
  struct WarmingUpWorker {
    Duration started_at{0};
    std::deque<Duration> recent_arrivals;  // times of the arrivals within the last overload window
  };
  // A worker in one gateway's endpoint list.
  struct Endpoint {
    int gateway = 0;
    int worker = 0;
    bool operator<(const Endpoint& other) const {
      return std::tie(gateway, worker) < std::tie(other.gateway, other.worker);
    }
  };

  OpenRequest* find_pending(RequestId id);
  void check_draining(Duration now, RequestId id, Endpoint endpoint);
  void check_duplicates(Duration now, RequestId id, const OpenRequest& request, int worker, int cell);
  void check_ceiling(Duration now, RequestId id, const OpenRequest& request, int worker);
  double allowed_arrivals(double progress) const;
  void report(Duration now, const char* rule, RequestId id, int worker = -1);
  const Route& route_of(const OpenRequest& request) const {
    return scenario_.policy_settings.routes[request.route];
  }

  const Scenario& scenario_;
  std::map<RequestId, OpenRequest> requests_;
  std::multimap<Duration, RequestId> deadlines_;
  std::map<Endpoint, Duration> unavailable_since_;  // when the gateway received the status draining or gone
  std::map<int, WarmingUpWorker> warming_up_workers_;  // by worker index
  std::map<int, TokenBucket> ceilings_;                // by customer index
  std::optional<InvariantViolation> violation_;
  double peak_slow_start_load_ = 0;
};

}  // namespace ironquay::lab
