#include "lab/emulator/emulated_discovery.hpp"

#include <algorithm>

namespace ironquay::lab {

EmulatedDiscovery::EmulatedDiscovery(EventQueue& events, const Scenario& scenario, std::uint32_t seed,
                                     GatewayFleet& gateways)
    : events_(events),
      scenario_(scenario),
      random_(seed, "list"),
      gateways_(gateways),
      watches_(static_cast<std::size_t>(scenario.gateway_count())) {}

void EmulatedDiscovery::publish(int worker, WorkerStatus status, Duration started_at) {
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    Watch& watch = watches_[i];
    const Duration sent_at = std::max(events_.now(), watch.suspended_until);
    const Duration arrives_at = sent_at + random_.jittered(scenario_.network.discovery_delay);
    watch.last_delivery = std::max(watch.last_delivery, arrives_at);
    events_.schedule_at(watch.last_delivery, [this, i, worker, status, started_at] {
      gateways_[i]->receive_endpoint(worker, status, started_at);
    });
  }
}

void EmulatedDiscovery::suspend_updates(int gateway, Duration duration) {
  Duration& suspended_until = watches_[static_cast<std::size_t>(gateway)].suspended_until;
  suspended_until = std::max(suspended_until, events_.now() + duration);
}

}  // namespace ironquay::lab
