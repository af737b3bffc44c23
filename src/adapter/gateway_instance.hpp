// One gateway in the simulator. The simulator runs several gateways in one process, each with its own
// settings and its own load balancer.
#pragma once
#include <cstdint>
#include <string>

#include "adapter/field_reader.hpp"
#include "adapter/reply_builder.hpp"
#include "adapter/reply_writer.hpp"
#include "config/settings_decoder.hpp"
#include "policy/load_balancer.hpp"

namespace ironquay::adapter {

class GatewayInstance {
 public:
  // Starts the load balancer at time `now`. `reply` must outlive the instance.
  GatewayInstance(std::string name, DecodedSettings settings, std::uint64_t seed, Duration now,
                  ReplyBuilder& reply);
  GatewayInstance(const GatewayInstance&) = delete;
  GatewayInstance& operator=(const GatewayInstance&) = delete;
  ~GatewayInstance() = default;

  // Passes one event to the load balancer, which adds its actions to the reply. Throws ProtocolError if the
  // event is malformed or unknown, and PolicyFailure if the load balancer throws.
  void deliver(FieldReader& fields, Duration now);

  // Whether an endpoint list was announced whose entries have not all been received.
  bool awaits_endpoints() const { return pending_endpoints_ > 0; }

 private:
  void dispatch(FieldReader& fields, Duration now);
  void receive_request(FieldReader& fields, Duration now);
  void receive_response_start(FieldReader& fields, Duration now);
  void receive_attempt_end(FieldReader& fields, Duration now);
  void receive_client_disconnect(FieldReader& fields, Duration now);
  void receive_timer(FieldReader& fields, Duration now);
  void receive_health_check_end(FieldReader& fields, Duration now);
  void receive_gossip(FieldReader& fields, Duration now);
  void receive_counter_reply(FieldReader& fields, Duration now);
  void receive_endpoint_list(FieldReader& fields, Duration now);
  void receive_endpoint(FieldReader& fields, Duration now);

  DecodedSettings decoded_settings_;
  ReplyWriter effects_;
  LoadBalancer balancer_;
  std::size_t pending_endpoints_ = 0;  // entries of the announced endpoint list that were not received yet
};

}  // namespace ironquay::adapter
