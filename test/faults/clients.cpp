#include "clients.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <ostream>

namespace ironquay::net {
namespace {

constexpr std::size_t kCustomers = 40;

std::string customer(std::size_t number) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016zx", number % kCustomers + 1);
  return digits;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const ClientTotals& totals) {
  return out << totals.requests << " requests: " << totals.served << " served, " << totals.rejected
             << " rejected, " << totals.failed << " failed, " << totals.late << " late, " << totals.lost
             << " lost, " << totals.closed_ids.size() << " closed, " << totals.wrong_value
             << " with a wrong value";
}

GoodClients::GoodClients(const Address& gateway, std::string prefix, ClientBehavior behavior)
    : gateway_(gateway), prefix_(std::move(prefix)), behavior_(behavior) {
  for (std::size_t i = 0; i < behavior_.clients; ++i) threads_.emplace_back([this, i] { run(i); });
}

ClientTotals GoodClients::stop() {
  running_ = false;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  return totals_;
}

void GoodClients::run(std::size_t client) {
  int sequence = 0;
  while (running_ && may_connect_) {
    TestConnection connection(connect_tcp(gateway_));
    for (int used = 0; running_ && used < behavior_.requests_per_connection; used += behavior_.pipeline) {
      if (!exchange_requests(connection, client, sequence)) break;
      std::this_thread::sleep_for(behavior_.think_time);
    }
  }
}

/// Returns false if the connection cannot be used any more.
bool GoodClients::exchange_requests(TestConnection& connection, std::size_t client, int& sequence) {
  std::vector<Pending> pending;
  std::string bytes;
  for (int i = 0; i < behavior_.pipeline; ++i) {
    const std::string id = request_id(client, ++sequence);
    bytes += request(id);
    pending.push_back({id, Clock::now()});
  }
  connection.try_send(bytes, behavior_.patience);
  bool usable = true;
  for (const Pending& one : pending) {
    const Answer answer = usable                   ? receive_answer(connection, one)
                          : connection.has_ended() ? Answer::closed
                                                   : Answer::none;
    usable = usable && answer != Answer::none && answer != Answer::closed;
    record(answer, one);
  }
  return usable;
}

std::string GoodClients::request_id(std::size_t client, int sequence) const {
  std::string id = prefix_;
  return id.append(std::to_string(client)).append("-").append(std::to_string(sequence));
}

std::string GoodClients::request(const std::string& id) const {
  const std::string attributes =
      "c=lookup,t=team,units=1,spread=1,first=0,d=" + std::to_string(behavior_.patience.count());
  const std::string name = customer(std::hash<std::string>()(id));
  if (behavior_.value_bytes == 0) return resp_array({"CALL.GET", name, id, attributes});
  return resp_array({"CALL.GET", name, id, attributes, std::string(behavior_.value_bytes, 'x')});
}

Answer GoodClients::receive_answer(TestConnection& connection, const Pending& pending) const {
  const auto deadline = pending.sent_at + behavior_.patience + kLossGrace;
  std::string answer = connection.receive_line_until(deadline);
  if (answer.empty()) return connection.has_ended() ? Answer::closed : Answer::none;
  if (answer.starts_with("-BUSY")) return Answer::rejected;
  if (answer.starts_with("-")) return Answer::failed;
  answer += connection.receive_line_until(deadline);
  return answer == bulk_string("v-" + pending.id) ? Answer::served : Answer::wrong_value;
}

void GoodClients::record(Answer answer, const Pending& pending) {
  const bool in_time = Clock::now() - pending.sent_at <= behavior_.patience;
  const std::lock_guard lock(mutex_);
  ++totals_.requests;
  totals_.sent_at.emplace(pending.id, pending.sent_at);
  switch (answer) {
    case Answer::closed:
      totals_.closed_ids.push_back(pending.id);
      return;
    case Answer::none:
      ++totals_.lost;
      return;
    case Answer::wrong_value:
      ++totals_.wrong_value;
      return;
    case Answer::served:
      ++(in_time ? totals_.served : totals_.late);
      return;
    case Answer::rejected:
      ++(in_time ? totals_.rejected : totals_.late);
      return;
    case Answer::failed:
      ++(in_time ? totals_.failed : totals_.late);
      return;
  }
}

LeavingClients::LeavingClients(const Address& gateway, std::size_t clients) : gateway_(gateway) {
  for (std::size_t i = 0; i < clients; ++i) threads_.emplace_back([this] { run(); });
}

std::vector<Clock::time_point> LeavingClients::stop() {
  running_ = false;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  return closed_at_;
}

void LeavingClients::run() {
  constexpr int kRequests = 300;
  constexpr Milliseconds kStay = 20ms;
  while (running_) {
    std::size_t connection = 0;
    {
      const std::lock_guard lock(mutex_);
      connection = closed_at_.size();
      closed_at_.push_back(Clock::time_point::max());
    }
    std::string requests;
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = request_prefix(connection) + std::to_string(i);
      requests += resp_array(
          {"CALL.GET", customer(connection), id, "c=lookup,t=team,units=1,spread=1,first=0,d=3000"});
    }
    TestConnection client(connect_tcp(gateway_));
    client.try_send(requests, kStay);
    std::this_thread::sleep_for(kStay);
    connection % 2 ? client.close() : client.reset();
    const std::lock_guard lock(mutex_);
    closed_at_[connection] = Clock::now();
  }
}

FloodingClient::FloodingClient(const Address& gateway, std::function<std::string()> next_input,
                               bool new_connections)
    : gateway_(gateway),
      next_input_(std::move(next_input)),
      new_connections_(new_connections),
      thread_([this] { run(); }) {}

void FloodingClient::stop() {
  running_ = false;
  if (thread_.joinable()) thread_.join();
}

void FloodingClient::run() {
  FileDescriptor fd;
  std::string unsent;
  while (running_) {
    if (!fd) fd = connect_tcp(gateway_);
    if (unsent.empty()) unsent = next_input_();
    pollfd event{fd.get(), POLLIN | POLLOUT, 0};
    poll(&event, 1, 100);
    char bytes[65536];
    const bool ended = (event.revents & POLLIN) && recv(fd.get(), bytes, sizeof bytes, 0) == 0;
    if (ended || (event.revents & (POLLERR | POLLHUP))) {
      fd = FileDescriptor();
      unsent.clear();
      continue;
    }
    if (!(event.revents & POLLOUT) || (new_connections_ && unsent.empty())) continue;
    const ssize_t sent = send(fd.get(), unsent.data(), unsent.size(), MSG_NOSIGNAL);
    if (sent > 0) unsent.erase(0, static_cast<std::size_t>(sent));
    if (new_connections_ && unsent.empty()) {
      // Reads the error and the close that the gateway owes, and connects again.
      pollfd end{fd.get(), POLLIN, 0};
      while (running_ && poll(&end, 1, 100) >= 0 && recv(fd.get(), bytes, sizeof bytes, 0) > 0) {
      }
      fd = FileDescriptor();
    }
  }
}

}  // namespace ironquay::net
