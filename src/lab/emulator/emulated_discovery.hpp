// The discovery service of the emulator. Each gateway receives every endpoint update after a random delay of
// its own, in the order in which the updates were published.
#pragma once
#include <vector>

#include "lab/emulator/emulated_gateway.hpp"
#include "lab/emulator/event_queue.hpp"
#include "lab/random_stream.hpp"
#include "lab/scenario/scenario.hpp"

namespace ironquay::lab {

class EmulatedDiscovery {
 public:
  // The references must outlive this object.
  EmulatedDiscovery(EventQueue& events, const Scenario& scenario, std::uint32_t seed, GatewayFleet& gateways);

  // Sends the status of a worker to all gateways. `started_at` is when the worker started.
  void publish(int worker, WorkerStatus status, Duration started_at);
  // Holds back the updates that are published to this gateway within the next `duration`, and sends them when
  // that time has passed.
  void suspend_updates(int gateway, Duration duration);

 private:
  // The state of one gateway's watch.
  struct Watch {
    // Arrival time of the last published update. Later updates do not arrive before this time.
    Duration last_delivery{0};
    // Updates that are published before this time are sent at this time.
    Duration suspended_until{0};
  };

  EventQueue& events_;
  const Scenario& scenario_;
  RandomStream random_;
  GatewayFleet& gateways_;
  std::vector<Watch> watches_;  // by gateway
};

}  // namespace ironquay::lab
