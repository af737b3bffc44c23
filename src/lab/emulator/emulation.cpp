#include "lab/emulator/emulation.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lab/emulator/client_population.hpp"
#include "lab/emulator/emulated_counter.hpp"
#include "lab/emulator/emulated_discovery.hpp"
#include "lab/emulator/emulated_gateway.hpp"
#include "lab/emulator/emulated_workers.hpp"
#include "lab/emulator/emulation_figures.hpp"
#include "lab/emulator/event_queue.hpp"
#include "lab/emulator/fault_injector.hpp"
#include "lab/emulator/gossip_network.hpp"
#include "lab/emulator/invariant_checker.hpp"
#include "lab/emulator/traffic_statistics.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

// Interval, in simulated time, between two checks of the requests' deadlines.
constexpr Duration kDeadlineCheckInterval = 10ms;
// The run continues for this long after the last client's timeout.
constexpr Duration kGracePeriod = 1s;

// One run: owns the gateways and the models that surround them.
class Emulation {
 public:
  Emulation(const Scenario& scenario, std::uint32_t seed, const PolicyFactory& make_policy)
      : scenario_(scenario),
        seed_(seed),
        make_policy_(make_policy),
        invariants_(scenario),
        statistics_(scenario),
        workers_(events_, scenario, seed, invariants_),
        counter_(events_, scenario),
        gossip_(events_, scenario, seed,
                [this](int receiver, int sender, const std::string& message) {
                  gateways_[static_cast<std::size_t>(receiver)]->receive_gossip(sender, message);
                }),
        policy_seed_random_(seed, "restarts"),
        discovery_(events_, scenario, seed, gateways_),
        clients_(events_, scenario, seed, gateways_, statistics_),
        faults_(events_, scenario, seed, {gateways_, workers_, counter_, discovery_}) {
    const EmulatedGateway::Environment environment{scenario_,   events_,      invariants_,
                                                   workers_,    counter_,     gossip_,
                                                   statistics_, make_policy_, policy_seed_random_};
    for (int index = 0; index < scenario.gateway_count(); ++index)
      gateways_.push_back(std::make_unique<EmulatedGateway>(environment, index));
  }

  nlohmann::ordered_json run() {
    for (const auto& gateway : gateways_) gateway->start();
    clients_.start();
    faults_.start();
    const Duration end = end_time();
    while (events_.now() < end && !invariants_.violation()) {
      events_.run_until(std::min(end, events_.now() + kDeadlineCheckInterval));
      invariants_.check_deadlines(events_.now());
    }
    return emulation_figures(
        {scenario_, seed_, statistics_, clients_.customers(), workers_, counter_, gossip_, invariants_});
  }

 private:
  // Returns a time at which all requests have ended. The last requests start when Scenario::duration has
  // passed.
  Duration end_time() const {
    Duration max_timeout(0);
    for (const Route& route : scenario_.policy_settings.routes)
      max_timeout = std::max(max_timeout, route.client_timeout);
    return scenario_.duration + max_timeout + kGracePeriod;
  }

  const Scenario& scenario_;
  std::uint32_t seed_;
  const PolicyFactory& make_policy_;
  EventQueue events_;
  InvariantChecker invariants_;
  TrafficStatistics statistics_;
  EmulatedWorkers workers_;
  EmulatedCounter counter_;
  GossipNetwork gossip_;
  RandomStream policy_seed_random_;
  GatewayFleet gateways_;
  EmulatedDiscovery discovery_;
  ClientPopulation clients_;
  FaultInjector faults_;
};

}  // namespace

nlohmann::ordered_json emulate(const Scenario& scenario, std::uint32_t seed,
                               const PolicyFactory& make_policy) {
  return Emulation(scenario, seed, make_policy).run();
}

}  // namespace ironquay::lab
