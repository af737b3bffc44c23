#include "lab/loadgen/load_generator.hpp"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

#include "lab/loadgen/load_connection.hpp"
#include "lab/loadgen/load_totals.hpp"
#include "lab/loadgen/request_factory.hpp"
#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::ordered_json;

// The maximum number of connections to all gateways together. It is above the number that one gateway accepts
// from clients. A request is lost if the maximum is reached and no connection to its gateway is idle.
constexpr std::size_t kMaxConnections = 400;
// A request that is sent more than this after its scheduled time shows that the generator itself is too slow.
// The event loop's timers have a granularity of 1 ms, so smaller delays are normal.
constexpr Duration kLateSendThreshold = 10ms;
// Interval between checks of whether the run has ended or a stop was requested.
constexpr Duration kEndCheckInterval = 100ms;

double to_milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

class LoadGenerator : public LoadConnection::Listener {
 public:
  LoadGenerator(net::EventLoop& loop, const Scenario& scenario, const LoadOptions& options,
                const std::atomic<bool>& stop_requested)
      : loop_(loop),
        scenario_(scenario),
        options_(options),
        stop_requested_(stop_requested),
        request_factory_(scenario, options.seed, options.targets.size()),
        idle_connections_(options.targets.size()),
        by_route_(scenario.routes.size()),
        by_plan_(scenario.plans.size()),
        next_request_timer_(loop, [this] { send_due_requests(); }),
        end_check_timer_(loop, [this] { stop_when_finished(); }) {}

  Json run() {
    started_at_ = next_scheduled_at_ = loop_.now();
    next_request_timer_.expire_after(Duration(0));
    end_check_timer_.expire_after(kEndCheckInterval);
    loop_.run();
    return figures();
  }

 private:
  void on_request_end(const LoadRequest& request, Duration scheduled_at,
                      LoadRequestOutcome outcome) override {
    --in_flight_;
    count_request_end(request, outcome, to_milliseconds(loop_.now() - scheduled_at));
  }
  void on_idle(LoadConnection& connection) override {
    idle_connections_[connection.gateway_index()].push_back(&connection);
  }
  void on_closed(LoadConnection& connection) override {
    std::erase(idle_connections_[connection.gateway_index()], &connection);
    const auto owned = std::find_if(connections_.begin(), connections_.end(),
                                    [&](const auto& candidate) { return candidate.get() == &connection; });
    loop_.destroy_later(std::move(*owned));
    connections_.erase(owned);
  }

  // Stops the loop when no request is scheduled or in flight.
  void stop_when_finished() {
    if (stop_requested_) next_request_timer_.stop();
    if (!next_request_timer_.is_active() && in_flight_ == 0) return loop_.stop();
    end_check_timer_.expire_after(kEndCheckInterval);
  }

  // Sends all requests whose scheduled time has come, whether or not earlier ones have been answered, and
  // sets the timer for the next one.
  void send_due_requests() {
    while (next_scheduled_at_ <= loop_.now() && !stop_requested_) {
      send_request();
      next_scheduled_at_ += request_factory_.next_interval(options_.rate);
      if (next_scheduled_at_ - started_at_ > options_.duration || requests_sent_ >= options_.max_requests)
        return;
    }
    if (!stop_requested_) next_request_timer_.expire_at(next_scheduled_at_);
  }

  // Sends the next request, or counts it as lost if its client has already timed out or there is no
  // connection.
  void send_request() {
    const LoadRequest request = request_factory_.next_request();
    const Route& route = scenario_.policy_settings.routes[request.route];
    const Duration deadline = next_scheduled_at_ + route.client_timeout;
    count_request(request);
    LoadConnection* connection = deadline > loop_.now() ? take_connection(request.gateway_index) : nullptr;
    if (!connection) return count_request_end(request, LoadRequestOutcome::lost, 0);
    ++in_flight_;
    const std::string command = request_factory_.encode(request, deadline - loop_.now());
    connection->send(request, next_scheduled_at_, deadline, command);
  }

  void count_request(const LoadRequest& request) {
    const Duration send_delay = loop_.now() - next_scheduled_at_;
    max_send_delay_ = std::max(max_send_delay_, send_delay);
    if (send_delay > kLateSendThreshold) ++late_sends_;
    ++requests_sent_;
    by_route_[request.route].on_request();
    by_plan_[request.plan].on_request();
  }

  void count_request_end(const LoadRequest& request, LoadRequestOutcome outcome, double latency_ms) {
    by_route_[request.route].on_request_end(outcome, latency_ms);
    by_plan_[request.plan].on_request_end(outcome, latency_ms);
  }

  // Returns an idle connection to the gateway, or else a new one. Returns null if the connection limit is
  // reached or the connection cannot be started.
  LoadConnection* take_connection(std::size_t gateway_index) {
    std::vector<LoadConnection*>& idle = idle_connections_[gateway_index];
    if (!idle.empty()) {
      LoadConnection* connection = idle.back();
      idle.pop_back();
      return connection;
    }
    if (connections_.size() >= kMaxConnections) return nullptr;
    net::FileDescriptor fd = net::connect_tcp(options_.targets[gateway_index]);
    if (!fd) return nullptr;
    connections_.push_back(std::make_unique<LoadConnection>(loop_, *this, gateway_index, std::move(fd)));
    return connections_.back().get();
  }

  // Returns a JSON object that maps the name of each route or plan to its totals.
  template <typename Named>
  static Json by_name(const std::vector<Named>& names, const std::vector<LoadTotals>& totals) {
    Json json = Json::object();
    for (std::size_t i = 0; i < totals.size(); ++i) json[names[i].name] = totals[i].to_json();
    return json;
  }

  Json figures() const {
    LoadTotals all;
    for (const LoadTotals& route : by_route_) all += route;
    return {{"scenario", scenario_.name},
            {"seed", options_.seed},
            {"rate", options_.rate},
            {"seconds", to_seconds(std::min(next_scheduled_at_, loop_.now()) - started_at_)},
            {"all", all.to_json()},
            {"routes", by_name(scenario_.routes, by_route_)},
            {"plans", by_name(scenario_.plans, by_plan_)},
            {"behind", {{"calls", late_sends_}, {"worst_ms", to_milliseconds(max_send_delay_)}}}};
  }

  net::EventLoop& loop_;
  const Scenario& scenario_;
  const LoadOptions& options_;
  const std::atomic<bool>& stop_requested_;
  RequestFactory request_factory_;
  std::vector<std::unique_ptr<LoadConnection>> connections_;
  std::vector<std::vector<LoadConnection*>> idle_connections_;  // by gateway index
  std::vector<LoadTotals> by_route_;
  std::vector<LoadTotals> by_plan_;
  Duration started_at_{0};
  Duration next_scheduled_at_{0};  // scheduled time of the next request
  Duration max_send_delay_{0};     // longest delay between a scheduled time and the sending of its request
  std::uint64_t requests_sent_ = 0;
  std::uint64_t in_flight_ = 0;
  std::uint64_t late_sends_ = 0;  // requests sent more than kLateSendThreshold after their scheduled time
  net::Timer next_request_timer_;
  net::Timer end_check_timer_;
};

}  // namespace

Json generate_load(net::EventLoop& loop, const Scenario& scenario, const LoadOptions& options,
                   const std::atomic<bool>& stop_requested) {
  return LoadGenerator(loop, scenario, options, stop_requested).run();
}

}  // namespace ironquay::lab
