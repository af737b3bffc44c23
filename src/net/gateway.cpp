#include "net/gateway.hpp"

#include <string>
#include <utility>

#include "net/log.hpp"
#include "net/wall_clock.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// File descriptors reserved for everything but client and worker connections: epoll, signals, up to four for
// discovery, two for the counter service, gossip, the listening socket, the three standard streams, eight for
// half-closed client connections, and three for connections that are open while they are being replaced.
constexpr std::size_t kReservedDescriptors = 24;

// How the connections are divided between clients and workers, in eighths. A request uses one client
// connection until it is answered, but a worker connection only while an attempt is in flight. Clients get
// the larger part, so that a shortage of workers makes requests wait and does not prevent the gateway from
// accepting client connections.
constexpr std::size_t kClientConnectionEighths = 5;
constexpr std::size_t kWorkerConnectionEighths = 3;

// A quarter of the process's memory limit is for requests and their responses to clients, an eighth for
// incomplete responses of workers. Another eighth is for clients' input (see ClientMemory).
constexpr std::size_t kRequestMemoryDivisor = 4;
constexpr std::size_t kResponseMemoryDivisor = 8;

// An eighth is for quota state, and a sixteenth for calls that the counter service has not answered.
constexpr std::size_t kQuotaMemoryDivisor = 8;
constexpr std::size_t kCounterMemoryDivisor = 16;

// How long the gateway waits at startup for a response from discovery, because the cached endpoint list may
// be outdated. The deployment platform expects a restarted gateway to be ready within 10 s.
constexpr Duration kDiscoveryStartupTimeout = 9s;

// Returns the maximum number of client and worker connections together.
std::size_t max_connections(const GatewayConfig& config) {
  if (config.max_descriptors <= 2 * kReservedDescriptors) return kReservedDescriptors;
  return config.max_descriptors - kReservedDescriptors;
}

std::size_t max_client_connections(const GatewayConfig& config) {
  return max_connections(config) * kClientConnectionEighths / 8;
}

UpstreamLimits upstream_limits(const GatewayConfig& config) {
  return {max_connections(config) * kWorkerConnectionEighths / 8,
          config.memory_limit_bytes / kResponseMemoryDivisor};
}

const Capabilities& capabilities(const GatewayConfig& config) {
  return config.settings.policy_settings.capabilities;
}

DiscoveryKind discovery_kind(const GatewayConfig& config) {
  return capabilities(config).polls_endpoints ? DiscoveryKind::shared_service : DiscoveryKind::local_agent;
}

PolicySettings policy_settings(const GatewayConfig& config) {
  PolicySettings settings = config.settings.policy_settings;
  settings.quota_memory_bytes = config.memory_limit_bytes / kQuotaMemoryDivisor;
  return settings;
}

// The load balancer is seeded with the two halves of the seed combined by XOR, discovery with the lower half,
// so that their random numbers differ.
std::uint32_t balancer_seed(const GatewayConfig& config) {
  return static_cast<std::uint32_t>(config.seed ^ (config.seed >> 32));
}
std::uint32_t discovery_seed(const GatewayConfig& config) { return static_cast<std::uint32_t>(config.seed); }

}  // namespace

Gateway::Gateway(EventLoop& loop, GatewayConfig config, std::function<void()> on_ready)
    : loop_(loop),
      config_(std::move(config)),
      balancer_(policy_settings(config_), balancer_seed(config_), loop.now(), *this),
      policy_timer_(loop, [this] { dispatch([this] { balancer_.on_timer(loop_.now()); }); }),
      startup_timer_(loop, [this] { open_frontend(StartupTrigger::discovery_timed_out); }),
      on_ready_(std::move(on_ready)),
      frontend_(loop, config_.listen, config_.settings, max_client_connections(config_),
                config_.memory_limit_bytes / kRequestMemoryDivisor, *this),
      upstreams_(loop, config_.settings.connection, upstream_limits(config_), *this),
      discovery_(loop, config_.discovery, discovery_kind(config_), discovery_seed(config_), *this),
      status_log_(loop, [this] { return status(); }) {
  discovery_.load_cached(std::exchange(config_.cached_endpoints, nullptr));
  discovery_.start();
  if (config_.counter && capabilities(config_).counter)
    counter_ = std::make_unique<CounterClient>(loop, *config_.counter, capabilities(config_).counter_timeout,
                                               config_.memory_limit_bytes / kCounterMemoryDivisor, *this);
  if (config_.gossip_listen)
    gossip_ = std::make_unique<GossipSocket>(loop, *config_.gossip_listen, config_.gossip_peers,
                                             config_.gossip_broadcast, *this);
  // The gateway does not wait for a shared discovery service: the response may take much longer, and the
  // endpoint list of such a service takes effect only when it is polled.
  startup_timer_.expire_after(capabilities(config_).polls_endpoints ? Duration(0) : kDiscoveryStartupTimeout);
}

void Gateway::reconfigure(const GatewayConfig& config) {
  discovery_.set_address(config.discovery);
  if (counter_ && config.counter) counter_->set_address(*config.counter);
}

void Gateway::drain() {
  startup_timer_.stop();
  on_ready_ = nullptr;
  frontend_.drain([this] {
    status_log_.write();
    loop_.stop();
  });
}

void Gateway::open_frontend(StartupTrigger trigger) {
  startup_timer_.stop();
  if (!on_ready_) return;
  log("accepting clients trigger=%s",
      trigger == StartupTrigger::discovery_responded ? "discovery" : "discovery-timeout");
  frontend_.start_accepting();
  std::exchange(on_ready_, nullptr)();
}

// Reports an event to the load balancer. While the load balancer handles an event, its effects may cause
// further events. These are deferred until it has handled the current one, because the load balancer is not
// reentrant. An event that an effect can cause must own the data that it refers to.
template <typename Event>
void Gateway::dispatch(Event event) {
  if (dispatching_) {
    deferred_events_.emplace_back(std::move(event));
    return;
  }
  dispatching_ = true;
  update_clock_offset();
  event();
  while (!deferred_events_.empty()) {
    deferred_events_.front()();
    deferred_events_.pop_front();
  }
  dispatching_ = false;
}

// Tells the load balancer the difference of the wall clock, once per iteration of the event loop.
void Gateway::update_clock_offset() {
  if (std::exchange(clock_offset_read_at_, loop_.now()) == loop_.now()) return;
  balancer_.set_clock_offset(unix_time() - loop_.precise_now());
}

// Removes a request from the open ones and returns its exchange. Returns null if the request is already
// answered or its client has disconnected.
Exchange* Gateway::take_exchange(RequestId request) {
  const auto found = open_requests_.find(request);
  if (found == open_requests_.end()) return nullptr;
  Exchange* exchange = found->second;
  open_requests_.erase(found);
  return exchange;
}

void Gateway::send_attempt(RequestId request, WorkerId worker, Duration timeout) {
  const auto found = open_requests_.find(request);
  if (found == open_requests_.end()) return;
  Exchange& exchange = *found->second;
  const std::size_t attempt = exchange.attempts_sent;
  // The client may have closed while this iteration was held up. Its connection's event follows.
  if (exchange.client_has_disconnected()) return abandon_attempt(request, attempt, worker);
  ++exchange.attempts_sent;
  ++status_log_.counters.attempts;
  upstreams_.send_attempt(exchange, attempt, worker, timeout);
}

// Ends an attempt that has not been sent together with its request, because the client no longer waits.
void Gateway::abandon_attempt(RequestId request, std::size_t attempt, WorkerId worker) {
  take_exchange(request);
  ++status_log_.counters.disconnected;
  constexpr bool kRequestFinished = true;
  const AttemptResult result{request, attempt, worker, Outcome::not_sent, Duration(0), kRequestFinished, 0};
  dispatch([this, result] { balancer_.on_attempt_end(loop_.now(), result); });
}

void Gateway::reject(RequestId request, Duration retry_after) {
  Exchange* exchange = take_exchange(request);
  if (!exchange) return;
  ++status_log_.counters.rejected;
  exchange->reject(retry_after);
}

void Gateway::fail(RequestId request) {
  Exchange* exchange = take_exchange(request);
  if (!exchange) return;
  ++status_log_.counters.failed;
  exchange->fail();
}

void Gateway::report_unserved(RequestId request, UnservedReason reason, std::size_t attempts) {
  const Exchange* exchange = find_request(request);
  if (!exchange) return;
  const std::string_view id = exchange->request.client_request_id;
  log_request("request unserved id=%.*s reason=%s attempts=%zu", static_cast<int>(id.size()), id.data(),
              to_string(reason), attempts);
}

void Gateway::cancel_attempt(RequestId request, std::size_t attempt) {
  upstreams_.cancel_attempt(request, attempt);
}

void Gateway::set_timer(Duration when) { policy_timer_.expire_at(when); }

void Gateway::check_health(WorkerId worker) { upstreams_.check_health(worker); }

void Gateway::close_idle_connections(WorkerId worker) { upstreams_.close_idle_connections(worker); }

void Gateway::send_gossip(int peer, std::string_view bytes) {
  if (gossip_) gossip_->send_to(peer, bytes);
}

void Gateway::broadcast_gossip(std::string_view bytes) {
  if (gossip_) gossip_->broadcast(bytes);
}

// Does nothing: EndpointDiscovery keeps a watch open from startup on and reconnects by itself.
void Gateway::subscribe_endpoints(bool /*on*/) {}

void Gateway::poll_endpoints() { discovery_.refresh(); }

void Gateway::add_to_counter(std::string_view name, double amount, Duration lifetime) {
  if (counter_) return counter_->add(name, amount, lifetime);
  on_counter_reply({name, Outcome::connect_failed, 0});
}

void Gateway::log_note(std::string_view text) {
  log("note %.*s", static_cast<int>(text.size()), text.data());
}

void Gateway::on_request(Exchange& exchange) {
  exchange.id = ++last_request_id_;
  ++status_log_.counters.received;
  open_requests_.emplace(exchange.id, &exchange);
  dispatch([this, &exchange] {
    const RequestMessage& request = exchange.request;
    balancer_.on_request(
        loop_.now(), {exchange.id, request.customer, request.route, request.plan, request.units,
                      request.first_gateway, request.gateway_spread, exchange.time_left, request.is_retry});
  });
}

void Gateway::on_client_disconnect(Exchange& exchange) {
  const RequestId id = exchange.id;
  if (!take_exchange(id)) return;
  ++status_log_.counters.disconnected;
  dispatch([this, id] { balancer_.on_client_disconnect(loop_.now(), id); });
}

void Gateway::on_deadline_shortened(Exchange& exchange) {
  dispatch([this, id = exchange.id, time_left = exchange.time_left] {
    balancer_.on_deadline_shortened(loop_.now(), id, time_left);
  });
}

const Exchange* Gateway::find_request(RequestId request) const {
  const auto found = open_requests_.find(request);
  return found == open_requests_.end() ? nullptr : found->second;
}

bool Gateway::may_send_attempt(RequestId request, std::size_t attempt) {
  const Exchange* exchange = find_request(request);
  const bool client_waits = exchange && !exchange->client_has_disconnected();
  return client_waits && balancer_.may_send_attempt(loop_.now(), request, attempt);
}

// If the outcome ends the request, answers the client first and then notifies the load balancer.
void Gateway::on_attempt_end(const AttemptEnd& end) {
  log_failed_attempt(end);
  bool request_finished = !open_requests_.contains(end.request);
  const bool is_final = end.outcome == Outcome::success || end.outcome == Outcome::invalid_request;
  if (!request_finished && is_final) {
    Exchange* exchange = take_exchange(end.request);
    ++(end.outcome == Outcome::success ? status_log_.counters.served : status_log_.counters.failed);
    end.outcome == Outcome::success ? exchange->respond_with_value(end.value) : exchange->fail();
    request_finished = true;
  }
  const AttemptResult result{end.request, end.attempt,      end.worker,      end.outcome,
                             end.elapsed, request_finished, end.actual_units};
  dispatch([this, result] { balancer_.on_attempt_end(loop_.now(), result); });
}

void Gateway::log_failed_attempt(const AttemptEnd& end) const {
  const Exchange* exchange = find_request(end.request);
  if (end.outcome == Outcome::success || !exchange) return;
  const std::string_view id = exchange->request.client_request_id;
  const std::string_view worker = worker_ids_.name_of(end.worker);
  log_request("attempt failed id=%.*s attempt=%zu worker=%.*s outcome=%s elapsed_ms=%lld",
              static_cast<int>(id.size()), id.data(), end.attempt, static_cast<int>(worker.size()),
              worker.data(), to_string(end.outcome), static_cast<long long>(end.elapsed.count() / 1000));
}

StatusGauges Gateway::status() const {
  const ClientContext& clients = frontend_.state();
  const ClientMemory& memory = clients.memory;
  const std::size_t lingering = clients.connections.lingering().size();
  return {.clients = clients.connections.active().size() + lingering,
          .lingering = lingering,
          .pending = clients.requests.pending(),
          .client_bytes = memory.used_bytes() + memory.input_bytes,
          .customers = balancer_.customer_count(),
          .counter_calls = counter_ ? counter_->pending_calls() : 0};
}

void Gateway::on_health_check_end(WorkerId worker, Outcome outcome, Duration elapsed) {
  dispatch([=, this] { balancer_.on_health_check_end(loop_.now(), worker, outcome, elapsed); });
}

void Gateway::on_endpoint_list_begin(EndpointListKind kind) {
  dispatch([=, this] { balancer_.on_endpoint_list_begin(loop_.now(), kind); });
}

void Gateway::on_endpoint(const Endpoint& endpoint) {
  const WorkerId id = worker_ids_.id_of(endpoint.name);
  if (endpoint.status == WorkerStatus::ready) {
    upstreams_.set_endpoint(id, endpoint.address, endpoint.started_at);
  } else if (endpoint.status == WorkerStatus::gone) {
    upstreams_.forget_process(id);
  } else {
    upstreams_.close_idle_connections(id);
  }
  dispatch([&, this] {
    balancer_.on_endpoint(loop_.now(),
                          {id, endpoint.status, endpoint.zone, endpoint.cell, endpoint.relative_capacity,
                           endpoint.started_at, address_key(endpoint.address)});
  });
}

void Gateway::on_endpoint_list_end() {
  dispatch([this] {
    balancer_.on_endpoint_list_end(loop_.now());
    remove_gone_workers();
  });
}

// Removes the workers that the load balancer no longer knows.
void Gateway::remove_gone_workers() {
  const auto is_gone = [this](WorkerId id) { return !balancer_.knows_worker(id); };
  for (const WorkerId id : worker_ids_.remove_if(is_gone)) upstreams_.remove_worker(id);
}

void Gateway::on_first_response() { open_frontend(StartupTrigger::discovery_responded); }

void Gateway::on_counter_reply(const CounterReply& reply) {
  dispatch([this, name = std::string(reply.name), outcome = reply.outcome, total = reply.total] {
    balancer_.on_counter_reply(loop_.now(), {name, outcome, total});
  });
}

void Gateway::on_gossip(int peer, std::string_view bytes) {
  dispatch([&, this] { balancer_.on_gossip(loop_.now(), peer, bytes); });
}

}  // namespace ironquay::net
