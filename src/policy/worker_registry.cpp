#include "policy/worker_registry.hpp"

namespace ironquay {

using namespace std::chrono_literals;

void WorkerRegistry::begin_list(EndpointListKind kind) {
  list_kind_ = kind;
  listed_workers_.clear();
}

void WorkerRegistry::update(const EndpointUpdate& update, Duration now) {
  listed_workers_.insert(update.worker);
  const auto [entry, inserted] = workers_.try_emplace(update.worker);
  Worker& worker = entry->second;
  if (inserted || is_new_process(worker, update)) {
    // The worker is new or has restarted, so the statistics of an earlier process do not apply. Attempts in
    // flight are still counted until they end.
    const int in_flight = worker.in_flight;
    worker = Worker();
    worker.in_flight = in_flight;
    worker.concurrency_limit = subset_.initial_concurrency_limit(ready_.size());
    worker.reported_start = update.started_at;
    worker.started_at = update.started_at > 0s ? clock_.start_time(update.started_at, now) : 0s;
    worker.budget_updated_at = now;
  }
  worker.status = update.status;
  worker.zone = std::string(update.zone);
  worker.cell = update.cell;
  worker.relative_capacity = update.relative_capacity > 0 ? update.relative_capacity : 1;
  worker.address = update.address;
  if (worker.status == WorkerStatus::ready && worker.address != 0)
    resolve_address_conflict(update.worker, worker);
}

bool WorkerRegistry::is_new_process(const Worker& known, const EndpointUpdate& update) {
  const bool returned = known.status == WorkerStatus::gone && update.status == WorkerStatus::ready;
  return returned || update.started_at != known.reported_start;
}

void WorkerRegistry::resolve_address_conflict(WorkerId id, Worker& worker) {
  WorkerId& owner = address_owners_.try_emplace(worker.address, id).first->second;
  Worker* other = owner == id ? nullptr : find(owner);
  const bool conflict =
      other != nullptr && other->status != WorkerStatus::gone && other->address == worker.address;
  if (conflict && other->started_at > worker.started_at) {
    worker.status = WorkerStatus::gone;
    return;
  }
  if (conflict) other->status = WorkerStatus::gone;
  owner = id;
}

bool WorkerRegistry::end_list(Duration now) {
  if (list_kind_ == EndpointListKind::failed) return false;
  if (list_kind_ != EndpointListKind::delta) {
    for (auto& [id, worker] : workers_) {
      if (!listed_workers_.contains(id)) worker.status = WorkerStatus::gone;
    }
  }
  rebuild_ready(now);
  // A worker that is gone does not return under the same id, so its state is no longer needed.
  std::erase_if(workers_, [](const auto& entry) {
    return entry.second.status == WorkerStatus::gone && entry.second.in_flight == 0;
  });
  std::erase_if(address_owners_, [this](const auto& entry) { return !workers_.contains(entry.second); });
  return true;
}

void WorkerRegistry::rebuild_ready(Duration now) {
  ready_.clear();
  total_concurrency_limit_ = 0;
  warm_count_ = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.status != WorkerStatus::ready) continue;
    ready_.push_back(id);
    total_concurrency_limit_ += worker.concurrency_limit;
    if (slow_start_.is_warm(worker, now)) ++warm_count_;
  }
}

Worker* WorkerRegistry::find(WorkerId id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

const Worker* WorkerRegistry::find(WorkerId id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

void WorkerRegistry::set_concurrency_limit(Worker& worker, double limit) {
  if (worker.status == WorkerStatus::ready) total_concurrency_limit_ += limit - worker.concurrency_limit;
  worker.concurrency_limit = limit;
}

void WorkerRegistry::attempt_started(Worker& worker) {
  ++worker.in_flight;
  ++in_flight_;
}

bool WorkerRegistry::attempt_ended(WorkerId id) {
  Worker* worker = find(id);
  if (worker == nullptr || worker->in_flight == 0) return false;
  --worker->in_flight;
  --in_flight_;
  return true;
}

double WorkerRegistry::utilization() const {
  return total_concurrency_limit_ > 0 ? static_cast<double>(in_flight_) / total_concurrency_limit_ : 1;
}

}  // namespace ironquay
