#include "lab/emulator/emulated_workers.hpp"

#include <algorithm>

#include "lab/emulator/slow_start.hpp"
#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

// A job that would end while its worker hangs is checked again at this interval until the worker has
// recovered.
constexpr Duration kHangCheckInterval = 100ms;
// Lower bound of a slowdown factor. With a factor of 0, jobs would take no simulated time.
constexpr double kMinSlowdown = 1e-3;
// Lower bound of the start time of a worker that starts during the run. A start time of 0 means that the
// worker was already warmed up when the run began.
constexpr Duration kMinStartTime = 1us;

}  // namespace

EmulatedWorkers::EmulatedWorkers(EventQueue& events, const Scenario& scenario, std::uint32_t seed,
                                 InvariantChecker& invariants)
    : events_(events), scenario_(scenario), random_(seed, "workers"), invariants_(invariants) {
  workers_.resize(static_cast<std::size_t>(scenario.workers.count));
}

std::shared_ptr<WorkerJob> EmulatedWorkers::send(int worker, std::size_t route, double size,
                                                 std::function<void(Outcome)> on_result) {
  auto job = std::make_shared<WorkerJob>(WorkerJob{route, size, std::move(on_result), false});
  events_.schedule_in(scenario_.network.one_way_latency, [this, worker, job] { receive(worker, job); });
  return job;
}

// Sends the result of a job to its gateway.
void EmulatedWorkers::respond(const JobPointer& job, Outcome outcome) {
  events_.schedule_in(scenario_.network.one_way_latency, [job, outcome] { job->on_result(outcome); });
}

// A job arrives at the worker.
void EmulatedWorkers::receive(int index, const JobPointer& job) {
  Worker& worker = at(index);
  if (worker.unreachable) {
    events_.schedule_in(scenario_.workers.connect_timeout,
                        [job] { job->on_result(Outcome::connect_failed); });
    return;
  }
  if (!worker.running) return respond(job, Outcome::connect_failed);
  invariants_.on_worker_arrival(events_.now(), index);
  if (worker.draining || worker.queue.size() >= scenario_.workers.capacity())
    return respond(job, Outcome::rejected);
  worker.queue.push_back(job);
  execute_queued(index);
}

// Executes queued jobs while the worker has free cores.
void EmulatedWorkers::execute_queued(int index) {
  Worker& worker = at(index);
  while (worker.running && !worker.hung && worker.busy_cores < scenario_.workers.cores &&
         !worker.queue.empty()) {
    const JobPointer job = worker.queue.front();
    worker.queue.pop_front();
    if (job->cancelled && !scenario_.workers.runs_cancelled_work) continue;
    execute(index, job);
  }
}

void EmulatedWorkers::execute(int index, const JobPointer& job) {
  Worker& worker = at(index);
  const double mean_work = to_seconds(scenario_.routes[job->route].mean_work) * job->size;
  const double work = random_.exponential(mean_work);
  const Execution execution{index, worker.incarnation, ++last_sequence_, work};
  ++worker.busy_cores;
  worker.executing.emplace(execution.sequence, job);
  const Duration execution_time = from_seconds(work * worker.slowdown / current_capacity_share(worker));
  events_.schedule_in(execution_time, [this, execution] { finish(execution); });
}

double EmulatedWorkers::current_capacity_share(const Worker& worker) const {
  const ContractSettings& contract = scenario_.policy_settings.contract;
  const bool started_before_run = worker.started_at <= Duration(0);
  const double progress =
      started_before_run ? 1 : warm_up_progress(contract, events_.now() - worker.started_at);
  return capacity_share(contract, progress);
}

// Ends a job whose work is done. Does nothing if the process that executed the job has ended.
void EmulatedWorkers::finish(const Execution& execution) {
  Worker& worker = at(execution.worker);
  if (worker.incarnation != execution.incarnation) return;
  if (worker.hung) return events_.schedule_in(kHangCheckInterval, [this, execution] { finish(execution); });
  const auto found = worker.executing.find(execution.sequence);
  const JobPointer job = found->second;
  worker.executing.erase(found);
  --worker.busy_cores;
  (job->cancelled ? wasted_work_ : useful_work_) += execution.work;
  if (!worker.unreachable)
    respond(job, random_.chance(worker.error_rate) ? Outcome::failure : Outcome::success);
  execute_queued(execution.worker);
}

void EmulatedWorkers::crash(int index) {
  Worker& worker = at(index);
  worker.running = false;
  ++worker.incarnation;
  worker.busy_cores = 0;
  for (const auto& [sequence, job] : worker.executing) respond(job, Outcome::connection_lost);
  for (const JobPointer& job : worker.queue) respond(job, Outcome::connection_lost);
  worker.executing.clear();
  worker.queue.clear();
}

void EmulatedWorkers::remove(int worker) {
  if (at(worker).running) crash(worker);
}

int EmulatedWorkers::add_worker() {
  const int index = static_cast<int>(workers_.size());
  workers_.emplace_back().started_at = std::max(events_.now(), kMinStartTime);
  invariants_.on_worker_start(events_.now(), index);
  return index;
}

void EmulatedWorkers::inject(const Fault& fault, const std::vector<int>& workers) {
  for (const int worker : workers) {
    if (!at(worker).running) continue;
    begin_fault(worker, fault);
    events_.schedule_in(fault.duration, [this, worker, kind = fault.kind] { end_fault(worker, kind); });
  }
}

void EmulatedWorkers::begin_fault(int index, const Fault& fault) {
  Worker& worker = at(index);
  switch (fault.kind) {
    case FaultKind::worker_slow:
      worker.slowdown = std::max(kMinSlowdown, fault.factor);
      break;
    case FaultKind::worker_hang:
      worker.hung = true;
      break;
    case FaultKind::worker_vanish:
      worker.unreachable = true;
      break;
    case FaultKind::worker_error:
      worker.error_rate = std::min(1.0, fault.factor);
      break;
    case FaultKind::worker_crash:
      crash(index);
      break;
    default:
      break;
  }
}

void EmulatedWorkers::end_fault(int index, FaultKind kind) {
  Worker& worker = at(index);
  switch (kind) {
    case FaultKind::worker_slow:
      worker.slowdown = 1;
      break;
    case FaultKind::worker_hang:
      worker.hung = false;
      execute_queued(index);
      break;
    case FaultKind::worker_vanish:
      worker.unreachable = false;
      break;
    case FaultKind::worker_error:
      worker.error_rate = 0;
      break;
    case FaultKind::worker_crash:
      worker.running = true;
      worker.started_at = std::max(events_.now(), kMinStartTime);
      invariants_.on_worker_start(events_.now(), index);
      break;
    default:
      break;
  }
}

}  // namespace ironquay::lab
