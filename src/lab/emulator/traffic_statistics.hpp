// The request counts, latencies and quota use that the emulator measures during a run.
#pragma once
#include <cstdint>
#include <vector>

#include "lab/scenario/scenario.hpp"
#include "policy/types.hpp"

namespace ironquay::lab {

// How a client's request ended, after its last retry.
enum class RequestOutcome {
  in_time,   // served within the latency objective
  late,      // served after the latency objective had passed
  rejected,  // the last response was a rejection
  failed,    // the last response was an error, the gateway crashed, or the client timed out or disconnected
  lost,      // none of the customer's gateways was running
};

// Counts of the requests of one plan or route. A request and its client retries count as one.
struct RequestTotals {
  std::uint64_t requests = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost = 0;
  // The value of a request is the priority weight of its route times its units.
  double value_within_quota = 0;    // total value of the requests that the customers' quotas covered
  double value_served_in_time = 0;  // the part of value_within_quota that was served in time

  void count(RequestOutcome outcome);
  // The fraction of the value within the quotas that was served in time; 1 if no request was within a quota.
  double served_value_share() const {
    return value_within_quota > 0 ? value_served_in_time / value_within_quota : 1.0;
  }
  RequestTotals& operator+=(const RequestTotals& other);
};

// Counts for one second of simulated time.
struct PerSecondTotals {
  std::uint64_t requests = 0;        // requests that started in this second
  std::uint64_t in_time = 0;         // requests that ended in this second, in time
  double units_forwarded = 0;        // units of the requests that gateways forwarded
  double heavy_units_forwarded = 0;  // the part of units_forwarded that belongs to heavy customers
};

// The properties of a request that the statistics depend on.
struct RequestSample {
  std::size_t plan = 0;       // index into Scenario::plans
  std::size_t route = 0;      // index into Scenario::routes
  double value = 0;           // priority weight times units
  bool within_quota = false;  // whether the customer's quota covered the request when it first arrived
};

class TrafficStatistics {
 public:
  explicit TrafficStatistics(const Scenario& scenario);

  // A client has sent a new request. Client retries are not reported.
  void on_request(Duration now, const RequestSample& request);
  // A request has ended, `elapsed` after it started.
  void on_request_end(Duration now, const RequestSample& request, RequestOutcome outcome, Duration elapsed);
  // A gateway has forwarded a request by sending its first attempt.
  void on_forwarded(Duration now, double units, bool is_heavy_customer, bool within_quota);
  // A gateway has sent an attempt.
  void on_attempt() { ++attempts_; }

  const std::vector<RequestTotals>& by_plan() const { return by_plan_; }
  const std::vector<RequestTotals>& by_route() const { return by_route_; }
  RequestTotals total() const;
  // One entry per second of the run, and further entries for the time in which clients still wait for
  // responses.
  const std::vector<PerSecondTotals>& by_second() const { return by_second_; }
  // The latencies of the served requests, in seconds, in the order in which the requests ended.
  const std::vector<double>& latencies() const { return latencies_; }
  std::uint64_t attempts() const { return attempts_; }
  // The fraction of the forwarded units that exceeded the customers' quotas.
  double over_quota_share() const {
    return units_forwarded_ > 0 ? units_over_quota_ / units_forwarded_ : 0.0;
  }

 private:
  PerSecondTotals& totals_at(Duration now);

  std::vector<RequestTotals> by_plan_;
  std::vector<RequestTotals> by_route_;
  std::vector<PerSecondTotals> by_second_;
  std::vector<double> latencies_;  // seconds
  std::uint64_t attempts_ = 0;
  double units_forwarded_ = 0;
  double units_over_quota_ = 0;
};

}  // namespace ironquay::lab
