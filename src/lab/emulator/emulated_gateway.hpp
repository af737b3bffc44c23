// One gateway of the emulator. It passes events to its policy and carries out the actions that the policy
// requests on the models of workers, counter, gossip network and clients.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "lab/emulator/emulated_counter.hpp"
#include "lab/emulator/emulated_workers.hpp"
#include "lab/emulator/event_queue.hpp"
#include "lab/emulator/gossip_network.hpp"
#include "lab/emulator/invariant_checker.hpp"
#include "lab/emulator/policy_under_test.hpp"
#include "lab/emulator/token_bucket.hpp"
#include "lab/emulator/traffic_statistics.hpp"
#include "lab/random_stream.hpp"
#include "lab/scenario/scenario.hpp"

namespace ironquay::lab {

// How a gateway responds to a client's request.
enum class ResponseKind {
  served,
  rejected,      // tells the client that it may safely send the request again
  failed,        // tells the client that the request may have been executed
  disconnected,  // the gateway crashed before it responded, or it was not running
};
struct GatewayResponse {
  ResponseKind kind = ResponseKind::failed;
  Duration retry_after{0};  // advised delay before a retry of a rejected request; 0: no advice
};

// One request of a client to a gateway. Every client retry is a request of its own.
struct ClientRequest {
  RequestId id = 0;  // unique over all gateways
  int customer = 0;  // index of the customer
  std::string_view customer_name;
  std::size_t route = 0;  // index into PolicySettings::routes
  std::size_t plan = 0;   // index into PolicySettings::plans
  double units = 0;
  // The customer uses `gateway_spread` consecutively numbered gateways, starting with `first_gateway` and
  // wrapping around after the last gateway.
  int first_gateway = 0;
  int gateway_spread = 1;
  Duration remaining_time{0};  // time until the client times out
  bool is_retry = false;
  std::function<void()> on_forwarded;                       // called when the first attempt is sent
  std::function<void(const GatewayResponse&)> on_response;  // called when the response reaches the client
};

class EmulatedGateway : public Effects {
 public:
  // The models that surround a gateway. All of them must outlive the gateway.
  struct Environment {
    const Scenario& scenario;
    EventQueue& events;
    InvariantChecker& invariants;
    EmulatedWorkers& workers;
    EmulatedCounter& counter;
    GossipNetwork& gossip;
    TrafficStatistics& statistics;
    const PolicyFactory& make_policy;
    RandomStream& policy_seed_random;  // the generator that each policy's seed is drawn from
  };

  // `index` is the gateway's number, from 0.
  EmulatedGateway(const Environment& environment, int index);

  // Starts the gateway's process. Its policy receives the endpoint list that the previous process stored. On
  // the first start, this is the list of all workers of the scenario.
  void start();
  // Ends the gateway's process: disconnects its clients and cancels its attempts.
  void crash();
  bool is_running() const { return policy_ != nullptr; }

  // Receives a request from a client. The gateway must be running.
  void receive_request(ClientRequest client_request);
  // Handles the disconnection of the client that sent this request. Returns false if the gateway is not
  // running or the request has already ended.
  bool disconnect_client(RequestId id);
  // Receives an endpoint update, which is stored even if the gateway is not running.
  void receive_endpoint(int worker, WorkerStatus status, Duration started_at);
  // Receives a gossip message. Drops it if the gateway is not running or the message exceeds the rate limit.
  void receive_gossip(int sender, const std::string& message);

  // ---- Effects

  void send_attempt(RequestId id, WorkerId worker, Duration timeout) override;
  void cancel_attempt(RequestId id, std::size_t attempt_index) override;
  void reject(RequestId id, Duration retry_after) override {
    respond(id, {ResponseKind::rejected, retry_after});
  }
  void fail(RequestId id) override { respond(id, {ResponseKind::failed, Duration(0)}); }
  void set_timer(Duration when) override;
  void send_gossip(int peer, std::string_view message) override;
  void broadcast_gossip(std::string_view message) override;
  void add_to_counter(std::string_view name, double amount, Duration lifetime) override;
  // The emulator does not model health checks, connections and endpoint polling, and does not log.
  void check_health(WorkerId) override {}
  void close_idle_connections(WorkerId) override {}
  void subscribe_endpoints(bool) override {}
  void poll_endpoints() override {}
  void log_note(std::string_view) override {}

 private:
  struct Attempt {
    WorkerId worker = 0;
    Duration sent_at{0};
    bool in_flight = true;
    std::shared_ptr<WorkerJob> job;
  };
  struct StoredEndpoint {
    WorkerStatus status = WorkerStatus::ready;
    Duration started_at{0};
  };

  Duration now() const { return environment_.events.now(); }
  void notify_policy_of_endpoint(int worker, const StoredEndpoint& endpoint);
  void respond(RequestId id, const GatewayResponse& response);
  void end_attempt(RequestId id, std::size_t attempt_index, Outcome outcome);
  static bool any_in_flight(const std::vector<Attempt>& attempts);
  // Wraps an action so that it does nothing if the current process has ended when it is called.
  template <typename Action>
  auto in_current_incarnation(Action action) {
    return [this, incarnation = incarnation_, action = std::move(action)](auto... arguments) {
      if (incarnation == incarnation_ && policy_) action(arguments...);
    };
  }

  Environment environment_;
  int index_;
  std::uint64_t incarnation_ = 0;            // incremented when a process starts or ends
  std::unique_ptr<PolicyUnderTest> policy_;  // null while the gateway is not running
  std::map<RequestId, ClientRequest> requests_;
  // The attempts of a request are kept until the request and all of its attempts have ended.
  std::map<RequestId, std::vector<Attempt>> attempts_;
  std::map<int, StoredEndpoint> endpoints_;  // by worker; kept when the process ends
  Duration timer_{0};                        // when the policy's timer expires; 0: never set
  TokenBucket gossip_rate_limiter_;
};

// All gateways of an emulation, indexed by gateway number.
using GatewayFleet = std::vector<std::unique_ptr<EmulatedGateway>>;

}  // namespace ironquay::lab
