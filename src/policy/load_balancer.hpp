// Makes the decisions of one gateway: which requests it admits, which worker each attempt is sent to, when a
// request is retried, and how a request that no worker serves is answered.
//
// The program that embeds a LoadBalancer reports each event by calling the matching on_...() function with
// the current time, read from a monotonic clock. It performs the actions that the
// LoadBalancer requests through Effects. The LoadBalancer has no clock, threads or I/O of its own. An
// implementation of Effects must not call the LoadBalancer.
//
// The LoadBalancer connects the modules of this directory:
//   QuotaAllocator      decides whether a customer's quota covers a request
//   OverloadController  decides whether the workers as a whole can accept another request
//   RetryPolicy         decides which further actions are allowed for a request
//   WorkerSelector      selects the worker for an attempt, normally from this gateway's WorkerSubset
//   ConcurrencyLimiter, OutlierDetector, SlowStart   limit the attempts sent to each worker
//   TimingPolicy        sets the deadline of each request and the time-out of each attempt
//   AttemptObserver     updates the other modules with the outcome of each attempt
//   WorkerRegistry, RequestTable, RouteStatistics    hold the state of workers, requests and routes
#pragma once
#include <deque>
#include <set>
#include <string_view>
#include <vector>

#include "policy/attempt_observer.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/effects.hpp"
#include "policy/events.hpp"
#include "policy/overload_controller.hpp"
#include "policy/quota_allocator.hpp"
#include "policy/random.hpp"
#include "policy/request_table.hpp"
#include "policy/retry_policy.hpp"
#include "policy/route_statistics.hpp"
#include "policy/settings.hpp"
#include "policy/shared_clock.hpp"
#include "policy/slow_start.hpp"
#include "policy/timing_policy.hpp"
#include "policy/worker_registry.hpp"
#include "policy/worker_selector.hpp"
#include "policy/worker_subset.hpp"

namespace ironquay {

class LoadBalancer {
 public:
  // `effects` must outlive the LoadBalancer. `seed` initializes its random source.
  LoadBalancer(PolicySettings settings, std::uint32_t seed, Duration now, Effects& effects);
  ~LoadBalancer() = default;
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;

  // Sets the difference of the Unix time and the clock of the events' times. The program calls this when the
  // difference changes. It is 0 at first.
  void set_clock_offset(Duration offset) { clock_.set_offset(offset); }

  // An endpoint list is reported as one begin call, one on_endpoint() call per entry, and one end call.
  void on_endpoint_list_begin(Duration now, EndpointListKind kind);
  void on_endpoint(Duration now, const EndpointUpdate& update);
  void on_endpoint_list_end(Duration now);

  void on_request(Duration now, const IncomingRequest& incoming);
  // The gateway has forwarded the first bytes of a response, so it can no longer give the request another
  // answer.
  void on_response_start(Duration now, RequestId id, std::size_t attempt);
  void on_attempt_end(Duration now, const AttemptResult& result);
  // The client no longer waits for the request's answer.
  void on_client_disconnect(Duration now, RequestId id);
  // The request must be answered within `time_left`, because the gateway may exit after that time. A deadline
  // is never moved to a later time.
  void on_deadline_shortened(Duration now, RequestId id, Duration time_left);

  void on_timer(Duration now);
  // The result of a health check does not influence any decision.
  void on_health_check_end(Duration now, WorkerId worker, Outcome outcome, Duration elapsed);
  void on_gossip(Duration now, int peer, std::string_view message);
  void on_counter_reply(Duration now, const CounterReply& reply);

  // Whether an attempt that waited for a connection or for buffer space may still be written. If not, the
  // caller ends the attempt with Outcome::not_sent. `attempt` is an index into the request's attempts.
  bool may_send_attempt(Duration now, RequestId id, std::size_t attempt) const;

  // Whether the endpoint list contains the worker, or attempts at it are still in flight.
  bool knows_worker(WorkerId id) const { return workers_.contains(id); }
  // The number of customers for which quota state is kept.
  std::size_t customer_count() const { return quota_.slices().size(); }

 private:
  friend class LoadBalancerTestAccess;  // gives the tests access to the modules
  struct Rule;

  // Sets the current time and detects whether the process was suspended before this event.
  void begin_event(Duration now);
  // Applies the rules until none of their conditions holds. Every event handler that can make a condition
  // true calls it last.
  void apply_rules();
  // Answers the request with the earliest deadline, which has passed.
  void answer_overdue_request();
  // Removes the first request from pending_admissions_. Queues the request, or answers it if it must not be
  // queued. Does nothing with a request that has been removed or has an attempt in flight.
  void admit_next();
  // Tries to send the queued requests in ascending order of rank. Stops after kMaxUnplacedRequests of them
  // for which no worker was found.
  void send_queued();
  // Answers the queued request that would be sent last, because the queue is too long.
  void shed_last_queued();
  void poll_endpoints();
  void rebalance_quota();
  // Sets the timer to next_timer().
  void update_timer();
  // The earliest time at which a deadline, an endpoint poll or a quota rebalance is due.
  Duration next_timer() const;

  // Adds the request to the request table with its deadline and its queue rank.
  Request& add_request(const IncomingRequest& incoming);
  // The rank of a request within its quota; see Request::queue_rank.
  double queue_rank(const Request& request) const;
  // Admits the request if it is within its quota or if serving it over quota is profitable. Otherwise answers
  // it with the advice to retry after `retry_after`.
  void apply_quota(RequestId id, bool within_quota, Duration retry_after);
  // Whether the request must be answered without another attempt to reduce the load. May draw a random
  // number.
  bool is_shed(const Request& request);
  // Sends an attempt of the queued request, or answers the request if no attempt may be sent any more.
  // Returns false if no worker was found and the request therefore stays queued.
  bool try_send(RequestId id);
  void send_attempt(RequestId id, Request& request, WorkerId worker);
  // Gives the request its final answer without a worker's response: a rejection if the client may safely send
  // the request again, an error otherwise. Removes the request.
  // `reason` is for the log.
  void reject_or_fail(RequestId id, Duration retry_after, UnservedReason reason);
  // Removes the request from the request table and cancels its attempts in flight.
  void remove_request(RequestId id);
  // The number of requests that may be queued.
  std::size_t queue_limit() const;
  // The load of the fleet as far as this gateway can measure it: 0 is idle, 1 and above is fully loaded.
  double load() const;

  PolicySettings settings_;
  SharedClock clock_;
  Effects& effects_;
  Duration now_;
  RandomSource random_;
  std::vector<RouteStatistics> route_statistics_;  // one entry per element of PolicySettings::routes
  RequestTable requests_;
  // Requests to be queued or answered by admit_next(): those that passed the quota check, and those whose
  // attempt ended without a final answer.
  std::deque<RequestId> pending_admissions_;
  WorkerSubset subset_;
  SlowStart slow_start_;
  WorkerRegistry workers_;
  RetryPolicy retry_policy_;
  OverloadController overload_;
  ConcurrencyLimiter limiter_;
  AttemptObserver observer_;
  TimingPolicy timing_;
  WorkerSelector selector_;
  QuotaAllocator quota_;
  std::multiset<Duration> endpoint_poll_times_;  // times of the next polls of the endpoint list
  // True if a request was queued, or a worker may have become available, since send_queued() last ran.
  bool queue_check_needed_ = false;
  Duration timer_ = Duration::max();  // time at which the timer is set to expire; max: no timer is set
};

}  // namespace ironquay
