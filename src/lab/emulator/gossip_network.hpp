// The network that carries gossip between the emulated gateways. Messages are delayed and may be lost.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "lab/emulator/event_queue.hpp"
#include "lab/random_stream.hpp"
#include "lab/scenario/scenario.hpp"

namespace ironquay::lab {

class GossipNetwork {
 public:
  // Delivers a message to the gateway with index `receiver`.
  using Deliver = std::function<void(int receiver, int sender, const std::string& message)>;

  // The references must outlive this object.
  GossipNetwork(EventQueue& events, const Scenario& scenario, std::uint32_t seed, Deliver deliver)
      : events_(events), scenario_(scenario), random_(seed, "peers"), deliver_(std::move(deliver)) {}

  // Sends a message to one gateway. A message to an index without a gateway is dropped.
  void send(int sender, int receiver, std::string_view message) {
    ++messages_sent_;
    if (receiver < 0 || receiver >= scenario_.gateway_count()) return;
    if (random_.chance(scenario_.network.gossip_loss)) return;
    events_.schedule_in(
        random_.jittered(scenario_.network.gossip_delay),
        [this, sender, receiver, text = std::string(message)] { deliver_(receiver, sender, text); });
  }
  // Sends a message to every gateway except the sender.
  void broadcast(int sender, std::string_view message) {
    for (int receiver = 0; receiver < scenario_.gateway_count(); ++receiver)
      if (receiver != sender) send(sender, receiver, message);
  }
  // The number of messages sent, including lost and dropped ones. A broadcast counts once per receiver.
  std::uint64_t messages_sent() const { return messages_sent_; }

 private:
  EventQueue& events_;
  const Scenario& scenario_;
  RandomStream random_;
  Deliver deliver_;
  std::uint64_t messages_sent_ = 0;
};

}  // namespace ironquay::lab
