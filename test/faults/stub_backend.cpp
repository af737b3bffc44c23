#include "stub_backend.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <set>

#include "net/resp.hpp"

namespace ironquay::net {
namespace {

constexpr Milliseconds kPollInterval = 2ms;
constexpr Milliseconds kHeartbeatInterval = 1s;

}  // namespace

StubBackend::StubBackend(std::size_t workers, Milliseconds service_time)
    : workers_(workers), service_time_(service_time), thread_([this] { run(); }) {}

StubBackend::~StubBackend() {
  running_ = false;
  thread_.join();
}

Json StubBackend::endpoint(std::size_t worker) const {
  return {{"host", "s-" + std::to_string(worker)},
          {"dial", workers_[worker].server.address()},
          {"site", "here"},
          {"class", "m2"},
          {"block", 1},
          {"health", workers_[worker].health},
          {"share", 1.0},
          {"born_ms", workers_[worker].born_ms}};
}

Json StubBackend::endpoint_list() const {
  const std::lock_guard lock(mutex_);
  Json hosts = Json::array();
  for (std::size_t i = 0; i < workers_.size(); ++i) hosts.push_back(endpoint(i));
  return {{"seq", list_version_}, {"whole", true}, {"hosts", std::move(hosts)}};
}

void StubBackend::set_worker(std::size_t worker, const char* health, std::int64_t born_ms) {
  const std::lock_guard lock(mutex_);
  workers_[worker].health = health;
  workers_[worker].born_ms = born_ms;
  pending_events_.push_back(
      watch_event({{"seq", ++list_version_}, {"whole", false}, {"hosts", Json::array({endpoint(worker)})}}));
}

std::vector<ReceivedAttempt> StubBackend::attempts() const {
  const std::lock_guard lock(mutex_);
  return attempts_;
}

std::size_t StubBackend::received(const std::vector<std::string>& ids) const {
  const std::set<std::string> wanted(ids.begin(), ids.end());
  std::set<std::string> found;
  for (const ReceivedAttempt& attempt : attempts())
    if (wanted.contains(attempt.id)) found.insert(attempt.id);
  return found.size();
}

void StubBackend::run() {
  while (running_) {
    std::vector<pollfd> events;
    for (const Worker& worker : workers_) events.push_back({worker.server.fd().get(), POLLIN, 0});
    events.push_back({counter_.fd().get(), POLLIN, 0});
    events.push_back({discovery_.fd().get(), POLLIN, 0});
    const std::size_t listeners = events.size();
    std::vector<std::uint64_t> ids;
    for (const auto& [id, connection] : connections_) {
      ids.push_back(id);
      const int wanted = connection.output.empty() ? POLLIN : POLLIN | POLLOUT;
      events.push_back({connection.fd.get(), static_cast<short>(wanted), 0});
    }
    poll(events.data(), events.size(), static_cast<int>(kPollInterval.count()));
    for (std::size_t i = 0; i < workers_.size(); ++i)
      if (events[i].revents) accept_from(workers_[i].server, Role::worker, i);
    if (events[workers_.size()].revents) accept_from(counter_, Role::counter, 0);
    if (events[workers_.size() + 1].revents) accept_from(discovery_, Role::discovery, 0);
    for (std::size_t i = 0; i < ids.size(); ++i)
      if (events[listeners + i].revents) read_from(ids[i], connections_.at(ids[i]));
    send_due_replies();
    send_heartbeats();
    for (auto& [id, connection] : connections_) flush(connection);
    std::erase_if(connections_, [](const auto& entry) { return entry.second.broken; });
  }
}

void StubBackend::accept_from(const TestServer& server, Role role, std::size_t worker) {
  Address peer;
  FileDescriptor fd = accept_connection(server.fd(), peer);
  if (fd) connections_[++last_connection_] = {std::move(fd), role, worker, {}, {}, false, false};
}

void StubBackend::read_from(std::uint64_t id, Connection& connection) {
  char bytes[65536];
  const ssize_t size = recv(connection.fd.get(), bytes, sizeof bytes, 0);
  if (size < 0 && errno == EAGAIN) return;
  if (size <= 0) return void(connection.broken = true);
  connection.input.append(bytes, static_cast<std::size_t>(size));
  process_input(id, connection);
}

void StubBackend::process_input(std::uint64_t id, Connection& connection) {
  if (connection.role == Role::discovery) {
    if (connection.input.find("\r\n\r\n") == std::string::npos) return;
    connection.input.clear();
    connection.is_watch = true;
    connection.output += kHttpOkChunked + watch_event(endpoint_list());
    return;
  }
  std::size_t consumed = 0;
  resp::Command command;
  while (resp::parse_command(std::string_view(connection.input).substr(consumed), command) ==
         resp::ParseStatus::complete) {
    consumed += command.wire_bytes;
    on_command(id, connection, {command.words.begin(), command.words.begin() + command.word_count});
  }
  connection.input.erase(0, consumed);
}

void StubBackend::on_command(std::uint64_t id, Connection& connection,
                             const std::vector<std::string>& words) {
  if (words[0] == "PING") {
    connection.output += kPong;
  } else if (connection.role == Role::counter) {
    connection.output += counter_reply(words);
  } else {
    on_attempt(id, connection, words);
  }
}

void StubBackend::on_attempt(std::uint64_t id, Connection& connection,
                             const std::vector<std::string>& words) {
  const std::string& request = words.at(2);
  const std::string told(resp::find_field(words.at(3), "d"));
  {
    const std::lock_guard lock(mutex_);
    attempts_.push_back({request, connection.worker, Clock::now(), Milliseconds(std::stol(told))});
  }
  if (attempts_to_break_ > 0 && attempts_to_break_.fetch_sub(1) > 0) return void(connection.broken = true);
  if (!hanging_)
    replies_.emplace(Clock::now() + service_time_, DelayedReply{id, worker_reply("v-" + request)});
}

std::string StubBackend::counter_reply(const std::vector<std::string>& words) {
  double& total = totals_[words.at(1)];
  total += std::stod(words.at(2));
  return bulk_string(std::to_string(total));
}

void StubBackend::send_due_replies() {
  while (!replies_.empty() && replies_.begin()->first <= Clock::now()) {
    const DelayedReply& reply = replies_.begin()->second;
    const auto connection = connections_.find(reply.connection);
    if (connection != connections_.end()) connection->second.output += reply.bytes;
    replies_.erase(replies_.begin());
  }
}

void StubBackend::send_heartbeats() {
  std::string events;
  {
    const std::lock_guard lock(mutex_);
    for (const std::string& event : pending_events_) events += event;
    pending_events_.clear();
  }
  if (Clock::now() >= next_heartbeat_) {
    next_heartbeat_ = Clock::now() + kHeartbeatInterval;
    events += http_chunk("\n");
  }
  for (auto& [id, connection] : connections_)
    if (connection.is_watch) connection.output += events;
}

void StubBackend::flush(Connection& connection) {
  while (!connection.output.empty()) {
    const ssize_t sent =
        ::send(connection.fd.get(), connection.output.data(), connection.output.size(), MSG_NOSIGNAL);
    if (sent <= 0) return;
    connection.output.erase(0, static_cast<std::size_t>(sent));
  }
}

}  // namespace ironquay::net
