// The interface between an emulated gateway and its policy, which is the real load balancer or a test double.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "policy/effects.hpp"
#include "policy/events.hpp"
#include "policy/settings.hpp"

namespace ironquay::lab {

// Receives the events of one emulated gateway. Each function has the meaning of the LoadBalancer function of
// the same name.
class PolicyUnderTest {
 public:
  virtual ~PolicyUnderTest() = default;
  virtual void on_endpoint_list_begin(Duration now, EndpointListKind kind) = 0;
  virtual void on_endpoint(Duration now, const EndpointUpdate& update) = 0;
  virtual void on_endpoint_list_end(Duration now) = 0;
  virtual void on_request(Duration now, const IncomingRequest& request) = 0;
  virtual void on_attempt_end(Duration now, const AttemptResult& result) = 0;
  virtual void on_client_disconnect(Duration now, RequestId request) = 0;
  virtual void on_timer(Duration now) = 0;
  virtual void on_gossip(Duration now, int peer, const std::string& message) = 0;
  virtual void on_counter_reply(Duration now, const CounterReply& reply) = 0;
};

// Creates the policy of one gateway. The policy requests its actions from `effects`, which must outlive it.
using PolicyFactory = std::function<std::unique_ptr<PolicyUnderTest>(
    PolicySettings settings, std::uint32_t seed, Duration now, Effects& effects)>;

// A PolicyFactory that creates the real LoadBalancer.
std::unique_ptr<PolicyUnderTest> make_load_balancer_policy(PolicySettings settings, std::uint32_t seed,
                                                           Duration now, Effects& effects);

}  // namespace ironquay::lab
