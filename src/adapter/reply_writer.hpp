// Implements the load balancer's Effects for one simulated gateway: adds each action to the reply.
#pragma once
#include <string>
#include <string_view>

#include "adapter/reply_builder.hpp"
#include "policy/effects.hpp"

namespace ironquay::adapter {

class ReplyWriter : public Effects {
 public:
  // `reply` must outlive the writer.
  ReplyWriter(std::string instance_name, ReplyBuilder& reply);

  void send_attempt(RequestId request, WorkerId worker, Duration timeout) override;
  void cancel_attempt(RequestId request, std::size_t attempt) override;
  void reject(RequestId request, Duration retry_after) override;
  void fail(RequestId request) override;
  void set_timer(Duration when) override;
  void check_health(WorkerId worker) override;
  void close_idle_connections(WorkerId worker) override;
  void send_gossip(int peer, std::string_view bytes) override;
  void broadcast_gossip(std::string_view bytes) override;
  void subscribe_endpoints(bool on) override;
  void poll_endpoints() override;
  void add_to_counter(std::string_view name, double amount, Duration lifetime) override;
  void log_note(std::string_view text) override;

 private:
  ReplyBuilder& begin(std::string_view action) { return reply_.begin_action(instance_name_, action); }

  std::string instance_name_;
  ReplyBuilder& reply_;
};

}  // namespace ironquay::adapter
