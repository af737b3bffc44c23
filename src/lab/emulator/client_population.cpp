#include "lab/emulator/client_population.hpp"

#include <algorithm>
#include <cmath>

#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

// The highest factor of all bursts, by plan; 1 for a plan without bursts.
std::vector<double> max_burst_factors(const Scenario& scenario) {
  std::vector<double> factors(scenario.plans.size(), 1);
  for (const Fault& fault : scenario.faults)
    if (fault.kind == FaultKind::burst) factors[fault.plan] = std::max(factors[fault.plan], fault.factor);
  return factors;
}

// Whether a client retries the request after this response. A failed request may have been executed, so
// clients retry it only if its route is idempotent.
bool should_retry(const GatewayResponse& response, const Route& route) {
  switch (response.kind) {
    case ResponseKind::served:
      return false;
    case ResponseKind::rejected:
    case ResponseKind::disconnected:
      return true;
    case ResponseKind::failed:
      return route.idempotency == Idempotency::idempotent;
  }
  return false;
}

RequestOutcome outcome_of(const GatewayResponse& response, Duration elapsed, const Route& route) {
  switch (response.kind) {
    case ResponseKind::served:
      return elapsed <= route.latency_objective ? RequestOutcome::in_time : RequestOutcome::late;
    case ResponseKind::rejected:
      return RequestOutcome::rejected;
    case ResponseKind::failed:
    case ResponseKind::disconnected:
      return RequestOutcome::failed;
  }
  return RequestOutcome::failed;
}

}  // namespace

ClientPopulation::ClientPopulation(EventQueue& events, const Scenario& scenario, std::uint32_t seed,
                                   GatewayFleet& gateways, TrafficStatistics& statistics)
    : events_(events),
      scenario_(scenario),
      arrival_random_(seed, "arrivals"),
      client_random_(seed, "choices"),
      gateways_(gateways),
      statistics_(statistics),
      customers_(make_customers(scenario, client_random_)),
      max_burst_factors_(max_burst_factors(scenario)) {}

void ClientPopulation::start() {
  for (std::size_t i = 0; i < customers_.size(); ++i) schedule_arrival(static_cast<int>(i));
  rotate_preferred_gateways();
}

// The plan's current demand, as a multiple of its demand without bursts.
double ClientPopulation::current_burst_factor(std::size_t plan) const {
  double factor = 1;
  for (const Fault& fault : scenario_.faults) {
    if (fault.kind != FaultKind::burst || fault.plan != plan) continue;
    const bool active =
        events_.now() >= fault.start_time && events_.now() < fault.start_time + fault.duration;
    if (active) factor = std::max(factor, fault.factor);
  }
  return factor;
}

// Draws arrivals at the rate of the highest burst and accepts each with the ratio of the current rate to that
// rate (thinning), so that the arrivals form a Poisson process with the current rate.
void ClientPopulation::schedule_arrival(int customer_index) {
  const Customer& customer = customer_at(customer_index);
  if (customer.request_rate <= 0) return;
  const double max_factor = max_burst_factors_[customer.plan];
  const double mean_interval = 1 / (customer.request_rate * max_factor);
  events_.schedule_in(from_seconds(arrival_random_.exponential(mean_interval)),
                      [this, customer_index, max_factor] {
                        if (events_.now() > scenario_.duration) return;
                        const LogicalRequest request = draw_request(customer_index);
                        const double burst_factor = current_burst_factor(customer_at(customer_index).plan);
                        if (arrival_random_.chance(burst_factor / max_factor)) start_request(request);
                        schedule_arrival(customer_index);
                      });
}

// Draws the route and the units of a customer's next request.
ClientPopulation::LogicalRequest ClientPopulation::draw_request(int customer) {
  LogicalRequest request;
  request.customer = customer;
  request.route = arrival_random_.weighted_index(scenario_.routes,
                                                 [](const RouteTraffic& route) { return route.weight; });
  const auto max_units = static_cast<std::size_t>(scenario_.policy_settings.max_units);
  request.units = 1 + static_cast<double>(arrival_random_.below(max_units));
  request.started_at = events_.now();
  request.remaining_retries = scenario_.clients.max_retries;
  return request;
}

RequestSample ClientPopulation::sample(const LogicalRequest& request) const {
  const std::size_t plan = customers_[static_cast<std::size_t>(request.customer)].plan;
  return {plan, request.route, route_of(request).priority_weight * request.units, request.within_quota};
}

// Starts a new request of a customer.
void ClientPopulation::start_request(LogicalRequest request) {
  Customer& customer = customer_at(request.customer);
  customer.units_requested += request.units;
  customer.requested_bucket.refill(events_.now());
  request.within_quota = customer.requested_bucket.try_take(request.units);
  statistics_.on_request(events_.now(), sample(request));
  send(request);
}

// Sends the request, for the first time or as a retry. The request fails if the client would time out before
// a response could arrive.
void ClientPopulation::send(const LogicalRequest& request) {
  const Duration latency = scenario_.network.one_way_latency;
  const Duration remaining_time = request.started_at + route_of(request).client_timeout - events_.now();
  EmulatedGateway* gateway = choose_gateway(customer_at(request.customer));
  const RequestId id = ++last_request_id_;
  if (!gateway) return finish_request(request, RequestOutcome::lost);
  if (remaining_time <= 2 * latency) return finish_request(request, RequestOutcome::failed);
  events_.schedule_in(latency, [this, request, id, gateway, remaining_time] {
    deliver(request, id, *gateway, remaining_time);
  });
}

// Chooses one of the customer's gateways at random. With a skew above 0, gateways closer to the preferred one
// are chosen more often. Skips gateways that are not running; returns null if none of the customer's gateways
// is running.
EmulatedGateway* ClientPopulation::choose_gateway(const Customer& customer) {
  const double exponent = 1 + 2 * scenario_.assignment.skew;
  const int distance =
      static_cast<int>(std::pow(client_random_.uniform(), exponent) * customer.gateway_spread);
  for (int i = 0; i < customer.gateway_spread; ++i) {
    const int offset = (customer.preferred_offset + distance + i) % customer.gateway_spread;
    const int index = (customer.first_gateway + offset) % scenario_.gateway_count();
    EmulatedGateway& gateway = *gateways_[static_cast<std::size_t>(index)];
    if (gateway.is_running()) return &gateway;
  }
  return nullptr;
}

// The request arrives at the gateway.
void ClientPopulation::deliver(const LogicalRequest& request, RequestId id, EmulatedGateway& gateway,
                               Duration remaining_time) {
  if (!gateway.is_running()) return on_response(request, {ResponseKind::disconnected, Duration(0)});
  const Customer& customer = customer_at(request.customer);
  ClientRequest client_request;
  client_request.id = id;
  client_request.customer = request.customer;
  client_request.customer_name = customer.name;
  client_request.route = request.route;
  client_request.plan = customer.plan;
  client_request.units = request.units;
  client_request.first_gateway = customer.first_gateway;
  client_request.gateway_spread = customer.gateway_spread;
  client_request.remaining_time = remaining_time - scenario_.network.one_way_latency;
  client_request.is_retry = request.remaining_retries < scenario_.clients.max_retries;
  client_request.on_forwarded = [this, request] { on_forwarded(request.customer, request.units); };
  client_request.on_response = [this, request](const GatewayResponse& response) {
    on_response(request, response);
  };
  if (client_random_.chance(scenario_.clients.abandon_probability))
    schedule_disconnect(request, id, gateway, remaining_time);
  gateway.receive_request(std::move(client_request));
}

// Schedules a disconnection of the client at a random time within `remaining_time`.
void ClientPopulation::schedule_disconnect(const LogicalRequest& request, RequestId id,
                                           EmulatedGateway& gateway, Duration remaining_time) {
  const Duration delay = from_seconds(to_seconds(remaining_time) * client_random_.uniform());
  events_.schedule_in(delay, [this, request, id, &gateway] {
    if (gateway.disconnect_client(id)) finish_request(request, RequestOutcome::failed);
  });
}

// A gateway has sent the first attempt of the customer's request.
void ClientPopulation::on_forwarded(int customer_index, double units) {
  Customer& customer = customer_at(customer_index);
  customer.units_forwarded += units;
  customer.forwarded_bucket.refill(events_.now());
  const bool within_quota = customer.forwarded_bucket.try_take(units);
  statistics_.on_forwarded(events_.now(), units, customer.is_heavy, within_quota);
}

// The client receives a response and either retries the request or finishes it.
void ClientPopulation::on_response(LogicalRequest request, const GatewayResponse& response) {
  const Route& route = route_of(request);
  if (request.remaining_retries == 0 || !should_retry(response, route))
    return finish_request(request, outcome_of(response, events_.now() - request.started_at, route));
  --request.remaining_retries;
  const bool follows_retry_after = response.retry_after > Duration(0) &&
                                   client_random_.chance(scenario_.clients.follow_retry_after_probability);
  const Duration delay =
      follows_retry_after ? response.retry_after : client_random_.jittered(scenario_.clients.backoff);
  events_.schedule_in(delay, [this, request] { send(request); });
}

void ClientPopulation::finish_request(const LogicalRequest& request, RequestOutcome outcome) {
  statistics_.on_request_end(events_.now(), sample(request), outcome, events_.now() - request.started_at);
}

// Draws a new preferred gateway for every customer and schedules the next rotation.
void ClientPopulation::rotate_preferred_gateways() {
  for (Customer& customer : customers_)
    customer.preferred_offset =
        static_cast<int>(client_random_.below(static_cast<std::size_t>(customer.gateway_spread)));
  if (events_.now() < scenario_.duration)
    events_.schedule_in(scenario_.assignment.rotation_period, [this] { rotate_preferred_gateways(); });
}

}  // namespace ironquay::lab
