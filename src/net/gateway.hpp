// The gateway as a whole: connects the load balancer with the network. It reports network events to
// LoadBalancer and carries out the effects that LoadBalancer requests.
#pragma once
#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "net/counter_client.hpp"
#include "net/endpoint_discovery.hpp"
#include "net/event_loop.hpp"
#include "net/frontend.hpp"
#include "net/gateway_config.hpp"
#include "net/gateway_status.hpp"
#include "net/gossip_socket.hpp"
#include "net/timer.hpp"
#include "net/upstream_pool.hpp"
#include "net/worker_id_map.hpp"
#include "policy/load_balancer.hpp"

namespace ironquay::net {

class Gateway : public Effects,
                public Frontend::Listener,
                public UpstreamPool::Listener,
                public EndpointDiscovery::Listener,
                public CounterClient::Listener,
                public GossipSocket::Listener {
 public:
  // Calls `on_ready` once, when clients can connect: after the first response from discovery, or after a
  // timeout of 9 s without one. If discovery is a shared service, the gateway does not wait for it. Throws
  // std::system_error if the gateway cannot bind one of its own addresses.
  Gateway(EventLoop& loop, GatewayConfig config, std::function<void()> on_ready);

  // Switches to the addresses of discovery and of the counter service in `config`. All other changes take
  // effect only after a restart.
  void reconfigure(const GatewayConfig& config);
  // Shuts down gracefully: finishes the open requests, then stops the event loop.
  void drain();

 private:
  // What made the gateway open its frontend.
  enum class StartupTrigger { discovery_responded, discovery_timed_out };

  // ---- Effects
  void send_attempt(RequestId request, WorkerId worker, Duration timeout) override;
  void reject(RequestId request, Duration retry_after) override;
  void fail(RequestId request) override;
  void report_unserved(RequestId request, UnservedReason reason, std::size_t attempts) override;
  void cancel_attempt(RequestId request, std::size_t attempt) override;
  void set_timer(Duration when) override;
  void check_health(WorkerId worker) override;
  void close_idle_connections(WorkerId worker) override;
  void send_gossip(int peer, std::string_view bytes) override;
  void broadcast_gossip(std::string_view bytes) override;
  void subscribe_endpoints(bool on) override;
  void poll_endpoints() override;
  void add_to_counter(std::string_view name, double amount, Duration lifetime) override;
  void log_note(std::string_view text) override;

  // ---- Frontend::Listener
  void on_request(Exchange& exchange) override;
  void on_client_disconnect(Exchange& exchange) override;
  void on_deadline_shortened(Exchange& exchange) override;

  // ---- UpstreamPool::Listener
  const Exchange* find_request(RequestId request) const override;
  bool may_send_attempt(RequestId request, std::size_t attempt) override;
  void on_attempt_end(const AttemptEnd& end) override;
  void on_health_check_end(WorkerId worker, Outcome outcome, Duration elapsed) override;

  // ---- EndpointDiscovery::Listener
  void on_endpoint_list_begin(EndpointListKind kind) override;
  void on_endpoint(const Endpoint& endpoint) override;
  void on_endpoint_list_end() override;
  void on_first_response() override;

  // ---- CounterClient::Listener
  void on_counter_reply(const CounterReply& reply) override;

  // ---- GossipSocket::Listener
  void on_gossip(int peer, std::string_view bytes) override;

  template <typename Event>
  void dispatch(Event event);
  void update_clock_offset();
  void open_frontend(StartupTrigger trigger);
  void remove_gone_workers();
  Exchange* take_exchange(RequestId request);
  void abandon_attempt(RequestId request, std::size_t attempt, WorkerId worker);
  void log_failed_attempt(const AttemptEnd& end) const;
  StatusGauges status() const;

  EventLoop& loop_;
  GatewayConfig config_;
  LoadBalancer balancer_;
  std::unordered_map<RequestId, Exchange*> open_requests_;  // the requests that are not answered yet
  WorkerIdMap worker_ids_;
  RequestId last_request_id_ = 0;
  Duration clock_offset_read_at_{0};
  bool dispatching_ = false;  // the load balancer is handling an event
  std::deque<std::function<void()>> deferred_events_;
  Timer policy_timer_;
  Timer startup_timer_;
  std::function<void()> on_ready_;  // empty after it was called, and after drain()
  Frontend frontend_;
  UpstreamPool upstreams_;
  EndpointDiscovery discovery_;
  StatusLog status_log_;
  std::unique_ptr<CounterClient> counter_;  // null if no counter service is used
  std::unique_ptr<GossipSocket> gossip_;    // null if the configuration has no address for gossip
};

}  // namespace ironquay::net
