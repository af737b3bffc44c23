// The clients of an emulation. Requests arrive independently of the responses to earlier ones (an open
// model), and clients retry requests that were rejected or failed.
#pragma once
#include <cstdint>
#include <vector>

#include "lab/emulator/customer.hpp"
#include "lab/emulator/emulated_gateway.hpp"
#include "lab/emulator/event_queue.hpp"
#include "lab/emulator/traffic_statistics.hpp"
#include "lab/random_stream.hpp"
#include "lab/scenario/scenario.hpp"

namespace ironquay::lab {

class ClientPopulation {
 public:
  // The references must outlive this object.
  ClientPopulation(EventQueue& events, const Scenario& scenario, std::uint32_t seed, GatewayFleet& gateways,
                   TrafficStatistics& statistics);

  // Schedules the first request of every customer.
  void start();
  const std::vector<Customer>& customers() const { return customers_; }

 private:
  // One request of a client, together with its retries. Each time the client sends it, a gateway receives a
  // new ClientRequest.
  struct LogicalRequest {
    int customer = 0;       // index into customers_
    std::size_t route = 0;  // index into Scenario::routes
    double units = 0;
    Duration started_at{0};
    int remaining_retries = 0;
    bool within_quota = false;  // whether the customer's quota covered the request when it first arrived
  };

  Customer& customer_at(int index) { return customers_[static_cast<std::size_t>(index)]; }
  const Route& route_of(const LogicalRequest& request) const {
    return scenario_.policy_settings.routes[request.route];
  }
  RequestSample sample(const LogicalRequest& request) const;
  double current_burst_factor(std::size_t plan) const;
  void schedule_arrival(int customer_index);
  LogicalRequest draw_request(int customer);
  void start_request(LogicalRequest request);
  void send(const LogicalRequest& request);
  EmulatedGateway* choose_gateway(const Customer& customer);
  void deliver(const LogicalRequest& request, RequestId id, EmulatedGateway& gateway,
               Duration remaining_time);
  void schedule_disconnect(const LogicalRequest& request, RequestId id, EmulatedGateway& gateway,
                           Duration remaining_time);
  void on_forwarded(int customer_index, double units);
  void on_response(LogicalRequest request, const GatewayResponse& response);
  void finish_request(const LogicalRequest& request, RequestOutcome outcome);
  void rotate_preferred_gateways();

  EventQueue& events_;
  const Scenario& scenario_;
  RandomStream arrival_random_;
  RandomStream client_random_;
  GatewayFleet& gateways_;
  TrafficStatistics& statistics_;
  std::vector<Customer> customers_;        // never resized: requests hold views of the customers' names
  std::vector<double> max_burst_factors_;  // highest burst factor of each plan
  RequestId last_request_id_ = 0;
};

}  // namespace ironquay::lab
