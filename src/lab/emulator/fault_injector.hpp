// Injects the faults of a scenario into the emulated gateways, workers, counter and discovery.
#pragma once
#include <cstdint>
#include <vector>

#include "lab/emulator/emulated_counter.hpp"
#include "lab/emulator/emulated_discovery.hpp"
#include "lab/emulator/emulated_gateway.hpp"
#include "lab/emulator/emulated_workers.hpp"
#include "lab/emulator/event_queue.hpp"
#include "lab/random_stream.hpp"
#include "lab/scenario/scenario.hpp"

namespace ironquay::lab {

class FaultInjector {
 public:
  // The models that faults are injected into. All of them must outlive the injector.
  struct Targets {
    GatewayFleet& gateways;
    EmulatedWorkers& workers;
    EmulatedCounter& counter;
    EmulatedDiscovery& discovery;
  };

  // `events` and `scenario` must outlive the injector.
  FaultInjector(EventQueue& events, const Scenario& scenario, std::uint32_t seed, const Targets& targets)
      : events_(events), scenario_(scenario), random_(seed, "faults"), targets_(targets) {}

  // Schedules all faults of the scenario.
  void start();

 private:
  void inject(const Fault& fault);
  std::vector<int> choose_workers(const Fault& fault);
  std::vector<int> choose_indices(std::size_t count, double fraction);
  void replace_workers(const std::vector<int>& workers, Duration duration);
  void replace_worker(int old_worker);
  void suspend_discovery(double gateway_fraction, Duration duration);
  void restart_gateways(const Fault& fault);

  EventQueue& events_;
  const Scenario& scenario_;
  RandomStream random_;
  Targets targets_;
};

}  // namespace ironquay::lab
