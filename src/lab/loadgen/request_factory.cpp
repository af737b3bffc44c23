#include "lab/loadgen/request_factory.hpp"

#include <cstdio>
#include <string_view>
#include <vector>

#include "net/resp.hpp"
#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

// The customers of plan i are numbered from i * kCustomersPerPlan, so that numbers are unique over all plans.
constexpr std::size_t kCustomersPerPlan = 1'000'000;
// The number of words of a request command: verb, customer, request tag, fields.
constexpr std::size_t kRequestWords = 4;

// The total demand of the customers of each plan, in units per second.
std::vector<double> plan_demands(const Scenario& scenario) {
  std::vector<double> demands;
  for (std::size_t i = 0; i < scenario.plans.size(); ++i) {
    const PlanDemand& plan = scenario.plans[i];
    demands.push_back(plan.customers * scenario.policy_settings.plans[i].rate * plan.normal_quota_use);
  }
  return demands;
}

std::string customer_name(std::size_t customer) {
  char name[24];
  std::snprintf(name, sizeof name, "%016zx", customer);
  return name;
}

// Returns the tag that identifies a request. It is also the idempotency key of a keyed request.
std::string request_tag(std::uint32_t seed, std::uint64_t sequence_number) {
  char tag[24];
  std::snprintf(tag, sizeof tag, "%08x%08llx", seed, static_cast<unsigned long long>(sequence_number));
  return tag;
}

}  // namespace

Duration RequestFactory::next_interval(double rate) { return from_seconds(random_.exponential(1 / rate)); }

LoadRequest RequestFactory::next_request() {
  LoadRequest request;
  request.sequence_number = ++last_sequence_number_;
  request.route =
      random_.weighted_index(scenario_.routes, [](const RouteTraffic& route) { return route.weight; });
  request.plan = random_.weighted_index(plan_demands(scenario_), [](double demand) { return demand; });
  request.gateway_index = random_.below(gateway_count_);
  const auto customers = static_cast<std::size_t>(scenario_.plans[request.plan].customers);
  request.customer = request.plan * kCustomersPerPlan + random_.below(customers);
  request.units = 1 + random_.below(static_cast<std::size_t>(scenario_.policy_settings.max_units));
  return request;
}

std::string RequestFactory::encode(const LoadRequest& request, Duration remaining_time) const {
  const Idempotency idempotency = scenario_.policy_settings.routes[request.route].idempotency;
  const auto remaining_ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining_time).count();
  const std::string tag = request_tag(seed_, request.sequence_number);
  std::string fields = "c=" + scenario_.routes[request.route].name;
  fields += ",t=" + scenario_.plans[request.plan].name;
  fields += ",d=" + std::to_string(remaining_ms);
  fields += ",units=" + std::to_string(request.units);
  fields += ",spread=" + std::to_string(gateway_count_);
  fields += ",first=0";
  if (idempotency == Idempotency::keyed) fields += ",k=" + tag;
  const char* verb = idempotency == Idempotency::idempotent ? "CALL.GET" : "CALL.POST";
  std::string command;
  net::resp::append_array_header(command, kRequestWords);
  net::resp::append_bulk_string(command, verb);
  net::resp::append_bulk_string(command, customer_name(request.customer));
  net::resp::append_bulk_string(command, tag);
  net::resp::append_bulk_string(command, fields);
  return command;
}

}  // namespace ironquay::lab
