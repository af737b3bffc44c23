// The workers of the emulator. Each worker has a number of cores that serve one bounded queue, warms up after
// a start (slow start), and can be made faulty.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "lab/emulator/event_queue.hpp"
#include "lab/emulator/invariant_checker.hpp"
#include "lab/random_stream.hpp"
#include "lab/scenario/scenario.hpp"
#include "policy/types.hpp"

namespace ironquay::lab {

// One attempt that a gateway has sent to a worker. The gateway may set `cancelled`. A cancelled job that is
// still queued is not executed, unless the scenario's workers execute cancelled requests. A job that is being
// executed runs to its end.
struct WorkerJob {
  std::size_t route = 0;                   // index into Scenario::routes
  double size = 1;                         // units of the request, divided by the mean units of a request
  std::function<void(Outcome)> on_result;  // called when the result reaches the gateway
  bool cancelled = false;
};

class EmulatedWorkers {
 public:
  // The references must outlive this object.
  EmulatedWorkers(EventQueue& events, const Scenario& scenario, std::uint32_t seed,
                  InvariantChecker& invariants);

  // Sends an attempt, which arrives at the worker after the network's one-way latency. `on_result` is not
  // called if the worker is unreachable when it finishes the job.
  std::shared_ptr<WorkerJob> send(int worker, std::size_t route, double size,
                                  std::function<void(Outcome)> on_result);

  // Begins a fault of one of the worker_* kinds in these workers, which ends after its duration. Workers that
  // do not run are skipped.
  void inject(const Fault& fault, const std::vector<int>& workers);
  // Starts a new worker and returns its index.
  int add_worker();
  // Makes the worker reject all attempts that arrive from now on. It still executes those that it has
  // accepted.
  void drain(int worker) { at(worker).draining = true; }
  // Stops the worker permanently. The jobs that it holds end with `connection_lost`.
  void remove(int worker);

  // The cell of a worker. The workers of a cell share one store of idempotency keys.
  int cell_of(int worker) const { return worker / scenario_.workers.workers_per_cell; }
  // When the worker last started; 0 if it was already running, with full capacity, when the run began.
  Duration started_at(int worker) const { return workers_[static_cast<std::size_t>(worker)].started_at; }
  // Core seconds, at full speed, spent on jobs that were not cancelled by the time they were finished.
  double useful_work() const { return useful_work_; }
  // Core seconds, at full speed, spent on jobs that were cancelled by the time they were finished.
  double wasted_work() const { return wasted_work_; }

 private:
  using JobPointer = std::shared_ptr<WorkerJob>;
  struct Worker {
    bool running = true;
    bool unreachable = false;  // the network drops everything to and from the worker
    bool hung = false;         // the worker accepts attempts and does not respond
    bool draining = false;
    double slowdown = 1;    // multiplies the execution time
    double error_rate = 0;  // probability that a response is an error
    Duration started_at{0};
    std::uint64_t incarnation = 0;  // incremented when the process ends; invalidates its scheduled events
    int busy_cores = 0;
    std::deque<JobPointer> queue;
    std::map<std::uint64_t, JobPointer> executing;  // by Execution::sequence
  };
  // One job on one core. finish() is called with it when the work is done.
  struct Execution {
    int worker = 0;
    std::uint64_t incarnation = 0;  // the incarnation of the worker that executes the job
    std::uint64_t sequence = 0;     // unique over all workers
    double work = 0;                // core seconds at full speed
  };

  Worker& at(int index) { return workers_[static_cast<std::size_t>(index)]; }
  void receive(int index, const JobPointer& job);
  void execute_queued(int index);
  void execute(int index, const JobPointer& job);
  void finish(const Execution& execution);
  void respond(const JobPointer& job, Outcome outcome);
  double current_capacity_share(const Worker& worker) const;
  void begin_fault(int index, const Fault& fault);
  void end_fault(int index, FaultKind kind);
  void crash(int index);

  EventQueue& events_;
  const Scenario& scenario_;
  RandomStream random_;
  InvariantChecker& invariants_;
  std::vector<Worker> workers_;
  std::uint64_t last_sequence_ = 0;
  double useful_work_ = 0;  // core seconds
  double wasted_work_ = 0;  // core seconds
};

}  // namespace ironquay::lab
