#include "lab/stubs/stub_worker.hpp"

#include <algorithm>
#include <charconv>

#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;
using net::resp::Command;
using net::resp::ParseStatus;

// A job that would end while the worker hangs is checked again at this interval until the worker has
// recovered.
constexpr Duration kHangCheckInterval = 50ms;
// Lower bound of a slowdown factor. With a factor of 0, jobs would take no time.
constexpr double kMinSlowdown = 1e-3;

// The number of words of a request command: verb, customer, request tag, fields.
constexpr std::size_t kRequestWords = 4;
constexpr std::size_t kFieldsWord = 3;  // index of the word that holds the fields

constexpr char kPong[] = "+PONG\r\n";
constexpr char kSyntaxError[] = "-SYNTAX\r\n";
constexpr char kBusy[] = "-BUSY\r\n";
constexpr char kFailed[] = "-ERR failed\r\n";

// The response to a request that was executed: an array of a body and two nulls, because the stub reports
// neither the units used nor its load.
std::string served_response() {
  std::string response = "*3\r\n";
  net::resp::append_bulk_string(response, "served");
  return response + "$-1\r\n$-1\r\n";
}

bool is_request(const Command& command) {
  const std::string_view verb = command.words[0];
  return (verb == "CALL.GET" || verb == "CALL.POST") && command.word_count >= kRequestWords;
}

}  // namespace

StubWorker::StubWorker(net::EventLoop& loop, const net::Address& address, const Scenario& scenario,
                       std::uint32_t seed)
    : scenario_(scenario),
      random_(seed, "worker"),
      timers_(loop),
      server_(loop, address, [this](StubServer::Connection& connection, std::string_view bytes) {
        return on_bytes(connection, bytes);
      }) {}

std::size_t StubWorker::on_bytes(StubServer::Connection& connection, std::string_view bytes) {
  if (crashed_) return StubServer::kCloseConnection;
  std::size_t consumed = 0;
  while (consumed < bytes.size()) {
    Command command;
    const ParseStatus parsed = net::resp::parse_command(bytes.substr(consumed), command);
    if (parsed == ParseStatus::incomplete) break;
    if (parsed == ParseStatus::malformed) return StubServer::kCloseConnection;
    consumed += command.wire_bytes;
    on_command(connection.id(), command);
  }
  execute_queued();
  return consumed;
}

void StubWorker::on_command(std::uint64_t connection, const Command& command) {
  const ResponseSlot slot{connection, pipelines_[connection].next_command++};
  if (command.words[0] == "PING") return respond(slot, kPong);
  if (!is_request(command)) return respond(slot, kSyntaxError);
  on_request(slot, command);
}

// Queues the request, or rejects it if the worker is draining or its queue is full.
void StubWorker::on_request(const ResponseSlot& slot, const Command& command) {
  ++received_;
  if (draining_ || !has_capacity()) return respond(slot, kBusy);
  const std::string_view fields = command.words[kFieldsWord];
  Job job{slot, find_route(net::resp::find_field(fields, "c")), 1};
  const std::string_view units = net::resp::find_field(fields, "units");
  std::from_chars(units.data(), units.data() + units.size(), job.size);
  job.size /= scenario_.mean_units();
  queue_.push_back(job);
}

bool StubWorker::has_capacity() const {
  return queue_.size() + static_cast<std::size_t>(busy_cores_) < scenario_.workers.capacity();
}

// The index of the route with this name, or of the last route if none has it.
std::size_t StubWorker::find_route(std::string_view name) const {
  std::size_t route = 0;
  while (route + 1 < scenario_.routes.size() && scenario_.routes[route].name != name) ++route;
  return route;
}

// Executes queued requests while the worker has free cores.
void StubWorker::execute_queued() {
  while (!hung_ && !crashed_ && busy_cores_ < scenario_.workers.cores && !queue_.empty()) {
    const Job job = queue_.front();
    queue_.pop_front();
    ++busy_cores_;
    const double mean_work = to_seconds(scenario_.routes[job.route].mean_work) * job.size * slowdown_;
    timers_.run_in(from_seconds(random_.exponential(mean_work)), [this, job] { finish(job); });
  }
}

void StubWorker::finish(const Job& job) {
  if (crashed_) return;
  if (hung_) return timers_.run_in(kHangCheckInterval, [this, job] { finish(job); });
  --busy_cores_;
  ++executed_;
  respond(job.slot, random_.chance(error_rate_) ? kFailed : served_response());
  execute_queued();
}

// Stores the response, and then sends every stored response of the connection for which all earlier responses
// have been sent.
void StubWorker::respond(const ResponseSlot& slot, std::string response) {
  Pipeline& pipeline = pipelines_[slot.connection];
  pipeline.pending_responses[slot.position] = std::move(response);
  StubServer::Connection* connection = server_.find_connection(slot.connection);
  if (!connection) return void(pipelines_.erase(slot.connection));
  auto& pending = pipeline.pending_responses;
  for (auto next = pending.find(pipeline.next_response); next != pending.end();
       next = pending.find(++pipeline.next_response)) {
    connection->send(next->second);
    pending.erase(next);
  }
}

void StubWorker::inject(const Fault& fault) {
  begin_fault(fault);
  timers_.run_in(fault.duration, [this, kind = fault.kind] {
    end_fault(kind);
    execute_queued();
  });
}

void StubWorker::begin_fault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::worker_slow:
      slowdown_ = std::max(kMinSlowdown, fault.factor);
      break;
    case FaultKind::worker_error:
      error_rate_ = std::min(1.0, fault.factor);
      break;
    case FaultKind::worker_hang:
      hung_ = true;
      break;
    case FaultKind::worker_vanish:
      server_.set_unresponsive(true);
      break;
    case FaultKind::worker_crash:
      crash();
      break;
    default:
      break;
  }
}

void StubWorker::end_fault(FaultKind kind) {
  switch (kind) {
    case FaultKind::worker_slow:
      slowdown_ = 1;
      break;
    case FaultKind::worker_error:
      error_rate_ = 0;
      break;
    case FaultKind::worker_hang:
      hung_ = false;
      break;
    case FaultKind::worker_vanish:
      // After a real machine was unreachable, its old connections no longer work. The stub imitates this by
      // closing its connections.
      server_.set_unresponsive(false);
      server_.disconnect_all();
      break;
    case FaultKind::worker_crash:
      crashed_ = false;
      break;
    default:
      break;
  }
}

void StubWorker::crash() {
  crashed_ = true;
  queue_.clear();
  timers_.clear();
  busy_cores_ = 0;
  server_.disconnect_all();
}

}  // namespace ironquay::lab
