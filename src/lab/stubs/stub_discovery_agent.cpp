#include "lab/stubs/stub_discovery_agent.hpp"

#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

// Watches receive an empty line at this interval, so that gateways can detect a failed agent by its silence.
constexpr Duration kKeepAliveInterval = 2s;
constexpr char kKeepAliveChunk[] = "1\r\n\n\r\n";

// A connection is closed if the head of a request exceeds this number of bytes.
constexpr std::size_t kMaxHeadBytes = 8192;
constexpr std::string_view kEndOfHead = "\r\n\r\n";
constexpr std::string_view kListRequest = "GET /discovery/hosts ";
constexpr std::string_view kListRequestWithQuery = "GET /discovery/hosts?";
constexpr std::string_view kWatchParameter = "watch=1";
constexpr std::string_view kFromParameter = "from=";
constexpr char kNotFound[] = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
constexpr char kWatchHead[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

constexpr double kMicrosecondsPerMillisecond = 1000;

const char* wire_name(HostHealth health) {
  switch (health) {
    case HostHealth::in_service:
      return "in_service";
    case HostHealth::terminating:
      return "terminating";
    case HostHealth::terminated:
      return "terminated";
  }
  return "";
}

// Encodes the text as one chunk of a chunked HTTP response.
std::string chunk(const std::string& text) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

StubDiscoveryAgent::StubDiscoveryAgent(net::EventLoop& loop, const net::Address& address)
    : keep_alive_(loop, [this] { send_keep_alives(); }),
      timers_(loop),
      server_(loop, address, [this](StubServer::Connection& connection, std::string_view bytes) {
        return on_bytes(connection, bytes);
      }) {
  keep_alive_.expire_after(kKeepAliveInterval);
}

void StubDiscoveryAgent::send_keep_alives() {
  keep_alive_.expire_after(kKeepAliveInterval);
  if (silent_) return;
  server_.for_each_connection([this](StubServer::Connection& connection) {
    if (watches_.contains(connection.id())) connection.send(kKeepAliveChunk);
  });
}

// The list of the hosts that have changed since `version`, as a line of JSON. If `version` is kNoVersion, the
// list is complete and contains all hosts that are not terminated.
std::string StubDiscoveryAgent::hosts_since(Version version) const {
  const bool complete = version < 0;
  nlohmann::json list = {{"seq", version_}, {"whole", complete}, {"hosts", nlohmann::json::array()}};
  for (const auto& [name, host] : hosts_) {
    if (host.version <= version || (complete && host.health == HostHealth::terminated)) continue;
    const double started_ms = static_cast<double>(host.started_at.count()) / kMicrosecondsPerMillisecond;
    list["hosts"].push_back({{"host", name},
                             {"dial", host.worker_address},
                             {"site", "here"},
                             {"class", "stand-in"},
                             {"block", 1},
                             {"health", wire_name(host.health)},
                             {"share", 1.0},
                             {"born_ms", started_ms}});
  }
  return list.dump() + "\n";
}

std::size_t StubDiscoveryAgent::on_bytes(StubServer::Connection& connection, std::string_view bytes) {
  const auto end = bytes.find(kEndOfHead);
  if (end == std::string_view::npos) return bytes.size() > kMaxHeadBytes ? StubServer::kCloseConnection : 0;
  on_request(connection, bytes.substr(0, bytes.find("\r\n")));
  return end + kEndOfHead.size();
}

void StubDiscoveryAgent::on_request(StubServer::Connection& connection, std::string_view request_line) {
  if (!request_line.starts_with(kListRequest) && !request_line.starts_with(kListRequestWithQuery))
    return connection.send(kNotFound);
  if (request_line.find(kWatchParameter) == std::string_view::npos) {
    const std::string text = hosts_since(kNoVersion);
    return connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
                           text);
  }
  Version from = kNoVersion;
  if (const auto at = request_line.find(kFromParameter); at != std::string_view::npos) {
    const std::string_view value = request_line.substr(at + kFromParameter.size());
    std::from_chars(value.data(), value.data() + value.size(), from);
  }
  start_watch(connection, from);
}

void StubDiscoveryAgent::start_watch(StubServer::Connection& connection, Version from) {
  watches_[connection.id()] = from;
  // A silent agent does not respond. When the fault ends, the agent closes the connection and the gateway
  // reconnects.
  if (silent_) return;
  connection.send(kWatchHead);
  send_changes(connection, from > version_ ? kNoVersion : from);
}

void StubDiscoveryAgent::send_changes(StubServer::Connection& connection, Version from) {
  connection.send(chunk(hosts_since(from)));
  watches_[connection.id()] = version_;
}

void StubDiscoveryAgent::set_host(const std::string& name, const std::string& worker_address,
                                  HostHealth health, Duration started_at) {
  hosts_[name] = {worker_address, health, started_at, ++version_};
  if (silent_) return;
  server_.for_each_connection([this](StubServer::Connection& connection) {
    const auto watch = watches_.find(connection.id());
    if (watch != watches_.end()) send_changes(connection, watch->second);
  });
}

void StubDiscoveryAgent::inject(const Fault& fault) {
  if (fault.kind != FaultKind::discovery_silent) return;
  silent_ = true;
  timers_.run_in(fault.duration, [this] {
    silent_ = false;
    server_.disconnect_all();
  });
}

}  // namespace ironquay::lab
