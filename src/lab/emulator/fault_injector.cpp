#include "lab/emulator/fault_injector.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

// How long a worker keeps running after the endpoint update with the status draining was published.
constexpr Duration kDrainTime = 5s;

}  // namespace

void FaultInjector::start() {
  for (const Fault& fault : scenario_.faults)
    events_.schedule_at(fault.start_time, [this, &fault] { inject(fault); });
}

void FaultInjector::inject(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::worker_slow:
    case FaultKind::worker_hang:
    case FaultKind::worker_crash:
    case FaultKind::worker_vanish:
    case FaultKind::worker_error:
      return targets_.workers.inject(fault, choose_workers(fault));
    case FaultKind::replace:
      return replace_workers(choose_workers(fault), fault.duration);
    case FaultKind::discovery_silent:
      return suspend_discovery(1, fault.duration);
    case FaultKind::discovery_overloaded:
      return suspend_discovery(fault.target_share, fault.duration);
    case FaultKind::counter_refuse:
    case FaultKind::counter_silent:
    case FaultKind::counter_slow:
    case FaultKind::counter_split:
      return targets_.counter.inject(fault);
    case FaultKind::restart:
      return restart_gateways(fault);
    case FaultKind::burst:
      return;  // ClientPopulation reads bursts from the scenario
  }
}

// The workers that the fault names, or else a random fraction of all workers.
std::vector<int> FaultInjector::choose_workers(const Fault& fault) {
  if (!fault.workers.empty()) return fault.workers;
  return choose_indices(static_cast<std::size_t>(scenario_.workers.count), fault.target_share);
}

// Chooses this fraction of the indices from 0 to `count` - 1 at random and returns them in ascending order.
std::vector<int> FaultInjector::choose_indices(std::size_t count, double fraction) {
  std::vector<int> indices(count);
  std::iota(indices.begin(), indices.end(), 0);
  for (std::size_t i = 0; i + 1 < count; ++i) std::swap(indices[i], indices[i + random_.below(count - i)]);
  indices.resize(static_cast<std::size_t>(std::lround(fraction * static_cast<double>(count))));
  std::sort(indices.begin(), indices.end());
  return indices;
}

// Replaces the workers one after another, at equal intervals over `duration`.
void FaultInjector::replace_workers(const std::vector<int>& workers, Duration duration) {
  const auto count = static_cast<Duration::rep>(workers.size());
  for (Duration::rep i = 0; i < count; ++i) {
    const int worker = workers[static_cast<std::size_t>(i)];
    events_.schedule_in(duration * i / count, [this, worker] { replace_worker(worker); });
  }
}

// Starts a new worker, drains the old one and stops it after the drain time.
void FaultInjector::replace_worker(int old_worker) {
  const auto publish = [this](int worker, WorkerStatus status) {
    targets_.discovery.publish(worker, status, targets_.workers.started_at(worker));
  };
  publish(targets_.workers.add_worker(), WorkerStatus::ready);
  targets_.workers.drain(old_worker);
  publish(old_worker, WorkerStatus::draining);
  events_.schedule_in(kDrainTime, [this, publish, old_worker] {
    targets_.workers.remove(old_worker);
    publish(old_worker, WorkerStatus::gone);
  });
}

void FaultInjector::suspend_discovery(double gateway_fraction, Duration duration) {
  for (const int gateway : choose_indices(targets_.gateways.size(), gateway_fraction))
    targets_.discovery.suspend_updates(gateway, duration);
}

void FaultInjector::restart_gateways(const Fault& fault) {
  for (const int index : choose_indices(targets_.gateways.size(), fault.target_share)) {
    EmulatedGateway& gateway = *targets_.gateways[static_cast<std::size_t>(index)];
    gateway.crash();
    events_.schedule_in(fault.duration, [&gateway] { gateway.start(); });
  }
}

}  // namespace ironquay::lab
