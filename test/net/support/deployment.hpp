// A gateway process in a deployment whose other parts the test simulates: clients, workers, discovery,
// counter and another gateway.
#pragma once
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway_process.hpp"
#include "messages.hpp"
#include "settings.hpp"
#include "test_server.hpp"

namespace ironquay::net {

/// How long the gateway waits after a reply before it reuses the worker connection. A duplicate reply may
/// arrive in this time.
constexpr Milliseconds kReuseDelay = 20ms;

/// A connection that the gateway opened to a worker for an attempt.
struct Attempt {
  TestConnection connection;
  std::size_t worker;  // index of the worker in the deployment
};

/// A watch of the endpoint list that the gateway has opened.
struct Watch {
  TestConnection connection;  // the discovery service's side; the HTTP response has begun
  std::string request;        // the head of the HTTP request
};

/// A gateway process together with its workers, discovery service and counter, and one other gateway. The
/// test simulates all but the gateway process. Changes to `config` must be made before start() or
/// ready_client(); reload_config() applies them to a running gateway.
class Deployment {
 public:
  explicit Deployment(std::size_t workers = 2);

  /// Writes `config` and starts the gateway.
  void start();
  /// Writes `config` and makes the running gateway load it (SIGHUP).
  void reload_config() const;
  /// Limits the gateway's file descriptors. Of 64 descriptors, it uses 25 for clients and 15 for workers.
  void limit_descriptors(int count) { config["limits"]["sockets"] = count; }

  /// Returns a client connection on which a PING has been answered. Starts the gateway and answers its watch
  /// if that has not happened yet. Fails the test if the gateway does not get ready within kWaitTimeout.
  TestConnection ready_client();
  /// Returns `count` connections as from ready_client().
  std::vector<TestConnection> ready_clients(std::size_t count);
  /// Starts a client connection, which the gateway may not have accepted yet.
  TestConnection connect() const { return TestConnection(connect_tcp(address_)); }
  const Address& address() const { return address_; }

  /// Accepts the next connection to any worker; fails the test if there is none within kWaitTimeout.
  Attempt next_attempt();
  /// Whether no worker receives a connection. Waits for `duration` for each worker in turn.
  bool no_attempt_for(Milliseconds duration) const;
  TestServer& worker(std::size_t index) { return workers_[index]; }

  /// Returns the complete endpoint list, in which all workers have the same health: "in_service" or
  /// "terminating".
  Json endpoint_list(int version, const char* health) const;
  /// Returns a change to the endpoint list that sets the health of one worker.
  Json endpoint_change(int version, std::size_t worker, const char* health) const;
  /// Returns a new version of the endpoint list without changes.
  static Json empty_endpoint_change(int version);
  /// Accepts a watch, reads its request and sends an event without changes.
  Watch accept_watch();
  /// Returns the watch that ready_client() accepted; accepts the next one if there is none.
  Watch take_watch();

  /// The UDP address at which the gateway receives gossip.
  const Address& gossip_address() const { return gossip_address_; }
  /// The UDP socket of the other gateway, which receives the gossip.
  const FileDescriptor& peer_socket() const { return peer_socket_; }

  Json config;
  TestServer discovery;
  TestServer counter;
  /// If set, modifies each entry of the endpoint lists.
  std::function<void(Json& endpoint)> edit_endpoint;
  GatewayProcess gateway;

 private:
  Json endpoint(std::size_t worker, const char* health) const;

  std::vector<TestServer> workers_;
  std::optional<Watch> watch_;
  bool watch_accepted_ = false;
  Address address_{};
  Address gossip_address_{};
  FileDescriptor gossip_reservation_;  // holds the port of gossip_address_ until the gateway is started
  FileDescriptor peer_socket_;
};

}  // namespace ironquay::net
