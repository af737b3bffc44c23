// A stub of the discovery service. It listens on a loopback socket, answers polls with the
// complete list of workers, and streams the changes of the list to watches.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "lab/scenario/scenario.hpp"
#include "lab/stubs/stub_server.hpp"
#include "lab/stubs/timer_set.hpp"
#include "net/event_loop.hpp"
#include "net/timer.hpp"

namespace ironquay::lab {

// The health of a host. The enumerators are the values of the field `health` on the wire.
enum class HostHealth { in_service, terminating, terminated };

class StubDiscoveryAgent {
 public:
  // Listens at `address`. Throws std::system_error if that fails. `loop` must outlive the agent.
  StubDiscoveryAgent(net::EventLoop& loop, const net::Address& address);
  // The address that the agent listens at, with the actual port.
  std::string address() const { return server_.address(); }

  // Adds or changes a host and sends the change to all watches. `started_at` is when the worker started; 0
  // means that it has already warmed up.
  void set_host(const std::string& name, const std::string& worker_address, HostHealth health,
                Duration started_at = Duration(0));
  // Begins a fault of the kind discovery_silent, which ends after its duration. Other kinds are ignored.
  void inject(const Fault& fault);

 private:
  // The version of the list of hosts. Every change of the list increments it.
  using Version = std::int64_t;
  // The version of a watch that has no list yet. It receives a complete list first.
  static constexpr Version kNoVersion = -1;

  struct Host {
    std::string worker_address;
    HostHealth health = HostHealth::in_service;
    Duration started_at{0};
    Version version = 0;  // version of the list that the last change of this host created
  };

  std::size_t on_bytes(StubServer::Connection& connection, std::string_view bytes);
  void on_request(StubServer::Connection& connection, std::string_view request_line);
  void start_watch(StubServer::Connection& connection, Version from);
  void send_changes(StubServer::Connection& connection, Version from);
  void send_keep_alives();
  std::string hosts_since(Version version) const;

  std::map<std::string, Host> hosts_;
  Version version_ = 1;
  // The version of the list that each watch has received, by connection identifier.
  std::map<std::uint64_t, Version> watches_;
  bool silent_ = false;  // whether a discovery_silent fault is active
  net::Timer keep_alive_;
  TimerSet timers_;
  StubServer server_;
};

}  // namespace ironquay::lab
