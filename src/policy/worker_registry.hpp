// Keeps the state of the workers in the endpoint list, and the utilization of their concurrency limits.
//
// A worker receives no new attempts as soon as an endpoint list reports it as draining or gone.
#pragma once
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "policy/events.hpp"
#include "policy/shared_clock.hpp"
#include "policy/slow_start.hpp"
#include "policy/worker.hpp"
#include "policy/worker_subset.hpp"

namespace ironquay {

class WorkerRegistry {
 public:
  // The arguments must outlive the registry.
  WorkerRegistry(const SlowStart& slow_start, const WorkerSubset& subset, const SharedClock& clock)
      : slow_start_(slow_start), subset_(subset), clock_(clock) {}

  // Starts to receive an endpoint list.
  void begin_list(EndpointListKind kind);
  // Adds or updates one worker of the list being received. The status takes effect immediately, but ready()
  // changes only in end_list(). If another worker is listed at the same address, the one that started earlier
  // is gone; if both started at the same time, the one that was listed earlier.
  void update(const EndpointUpdate& update, Duration now);
  // Completes the list and removes workers that are gone and have no attempts in flight. Returns false if the
  // list could not be fetched, in which case the previous list remains in use.
  bool end_list(Duration now);

  // Null if there is no such worker.
  Worker* find(WorkerId id);
  const Worker* find(WorkerId id) const;
  Worker& at(WorkerId id) { return workers_.at(id); }
  const Worker& at(WorkerId id) const { return workers_.at(id); }
  bool contains(WorkerId id) const { return workers_.contains(id); }
  std::size_t size() const { return workers_.size(); }
  // The workers that were ready at the end of the last list, in ascending order.
  const std::vector<WorkerId>& ready() const { return ready_; }
  // The number of workers in ready() that were warm at the end of the last list.
  std::size_t warm_count() const { return warm_count_; }

  // Sets the worker's concurrency limit. Callers must not assign Worker::concurrency_limit directly, because
  // the registry keeps the sum of the limits of the ready workers.
  void set_concurrency_limit(Worker& worker, double limit);
  // Counts an attempt as in flight at the worker.
  void attempt_started(Worker& worker);
  // Counts an attempt at the worker as ended. Returns false if the worker is unknown or has no attempt in
  // flight.
  bool attempt_ended(WorkerId id);
  // The number of this gateway's attempts in flight at all workers.
  int in_flight() const { return in_flight_; }
  // Attempts in flight divided by the sum of the ready workers' concurrency limits; 1 if the sum is 0.
  double utilization() const;

 private:
  // Whether the worker is a process that this gateway has not sent attempts to.
  static bool is_new_process(const Worker& known, const EndpointUpdate& update);
  // Decides which worker is gone if another one is listed at the address of the updated one.
  void resolve_address_conflict(WorkerId id, Worker& worker);
  // Recomputes the list of ready workers and the totals over them.
  void rebuild_ready(Duration now);

  const SlowStart& slow_start_;
  const WorkerSubset& subset_;
  const SharedClock& clock_;
  std::map<WorkerId, Worker> workers_;
  std::vector<WorkerId> ready_;
  std::unordered_map<std::uint64_t, WorkerId>
      address_owners_;                 // the last ready worker that was listed at an address
  std::set<WorkerId> listed_workers_;  // entries of the list being received
  EndpointListKind list_kind_ = EndpointListKind::cached;
  std::size_t warm_count_ = 0;
  int in_flight_ = 0;
  double total_concurrency_limit_ = 0;  // sum over the ready workers
};

}  // namespace ironquay
