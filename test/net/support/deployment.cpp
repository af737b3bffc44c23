#include "deployment.hpp"

#include <algorithm>

namespace ironquay::net {
namespace {

constexpr const char* kGatewayHost = "127.77.0.1";

Json endpoint_message(int version, bool complete, Json endpoints) {
  return {{"seq", version}, {"whole", complete}, {"hosts", std::move(endpoints)}};
}

}  // namespace

Deployment::Deployment(std::size_t workers) : workers_(workers) {
  peer_socket_ = bind_udp(any_port(kGatewayHost));
  address_ = address_of(listen_tcp(any_port(kGatewayHost)));
  // The gossip port is chosen separately, because a port that is free for TCP may be in use for UDP.
  gossip_reservation_ = bind_udp(any_port(kGatewayHost));
  gossip_address_ = address_of(gossip_reservation_);
  const std::string own_address = to_string(address_);
  const std::string own_gossip_address = to_string(gossip_address_);
  const std::string peer_address = to_string(address_of(peer_socket_));
  config = {{"name", "n0"},
            {"listen", own_address},
            {"discovery", discovery.address()},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
            {"peer_listen", own_gossip_address},
            {"peers", {own_gossip_address, peer_address}},
            {"peers_all", peer_address},
            {"counter", counter.address()},
            {"known", endpoint_list(41, "in_service")},
            {"settings", default_settings()}};
}

void Deployment::start() {
  gateway.write_config(config.dump());
  gossip_reservation_ = FileDescriptor();
  gateway.start(discovery.address());
}

void Deployment::reload_config() const {
  gateway.write_config(config.dump());
  gateway.reload();
}

TestConnection Deployment::ready_client() {
  if (!gateway.started()) start();
  if (!watch_accepted_) watch_ = accept_watch();
  const auto start = Clock::now();
  while (Clock::now() - start < kWaitTimeout) {
    TestConnection client = connect();
    client.send(kPing);
    if (client.receives(kPong)) return client;
    // On a busy machine, the gateway's watch may have timed out before it was answered. The gateway then
    // opens another one.
    if (discovery.has_connection_within(10ms)) watch_ = accept_watch();
  }
  FAIL("the gateway did not become ready: " << gateway.log());
  return TestConnection();
}

std::vector<TestConnection> Deployment::ready_clients(std::size_t count) {
  std::vector<TestConnection> clients;
  clients.reserve(count);
  while (clients.size() < count) clients.push_back(ready_client());
  return clients;
}

Attempt Deployment::next_attempt() {
  std::vector<pollfd> events;
  events.reserve(workers_.size());
  for (const TestServer& worker : workers_) events.push_back({worker.fd().get(), POLLIN, 0});
  if (poll(events.data(), events.size(), static_cast<int>(kWaitTimeout.count())) <= 0)
    FAIL("no worker received a connection: " << gateway.log());
  const auto ready =
      std::find_if(events.begin(), events.end(), [](const pollfd& event) { return event.revents; });
  const auto index = static_cast<std::size_t>(ready - events.begin());
  return {workers_[index].accept(), index};
}

bool Deployment::no_attempt_for(Milliseconds duration) const {
  return std::none_of(workers_.begin(), workers_.end(),
                      [&](const TestServer& worker) { return worker.has_connection_within(duration); });
}

Json Deployment::endpoint_list(int version, const char* health) const {
  Json endpoints = Json::array();
  for (std::size_t worker = 0; worker < workers_.size(); ++worker)
    endpoints.push_back(endpoint(worker, health));
  return endpoint_message(version, true, std::move(endpoints));
}

Json Deployment::endpoint_change(int version, std::size_t worker, const char* health) const {
  Json endpoints = Json::array();
  endpoints.push_back(endpoint(worker, health));
  return endpoint_message(version, false, std::move(endpoints));
}

Json Deployment::empty_endpoint_change(int version) {
  return endpoint_message(version, false, Json::array());
}

Watch Deployment::accept_watch() {
  Watch watch{discovery.accept(), {}};
  watch.request = watch.connection.receive_http_head();
  watch.connection.send(std::string(kHttpOkChunked) + watch_event({{"hosts", Json::array()}}));
  watch_accepted_ = true;
  return watch;
}

Watch Deployment::take_watch() {
  Watch watch = watch_ ? std::move(*watch_) : accept_watch();
  watch_.reset();
  return watch;
}

Json Deployment::endpoint(std::size_t worker, const char* health) const {
  Json entry = {{"host", "s-" + std::to_string(worker)},
                {"dial", workers_[worker].address()},
                {"site", "here"},
                {"class", "m2"},
                {"block", 1},
                {"health", health},
                {"share", 1.0},
                {"born_ms", 0}};
  if (edit_endpoint) edit_endpoint(entry);
  return entry;
}

}  // namespace ironquay::net
