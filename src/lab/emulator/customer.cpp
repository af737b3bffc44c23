#include "lab/emulator/customer.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>

namespace ironquay::lab {
namespace {

// Returns a name of 16 hexadecimal digits. The multiplication spreads consecutive indices over the range of
// names.
std::string customer_name(std::size_t index) {
  constexpr std::uint64_t kMultiplier = 2654435761u;
  constexpr std::uint64_t kModulus = std::uint64_t(1) << 33;
  char name[24];
  std::snprintf(name, sizeof name, "%016llx",
                static_cast<unsigned long long>(index * kMultiplier % kModulus));
  return name;
}

Customer make_customer(const Scenario& scenario, std::size_t plan, std::size_t index, RandomStream& random) {
  const PlanDemand& demand = scenario.plans[plan];
  const QuotaPlan& quota = scenario.policy_settings.plans[plan];
  const int gateway_count = scenario.gateway_count();
  const auto spread = static_cast<int>(std::lround(scenario.assignment.spread * gateway_count));
  Customer customer;
  customer.name = customer_name(index);
  customer.plan = plan;
  customer.gateway_spread = std::clamp(spread, 1, gateway_count);
  customer.first_gateway = static_cast<int>(random.below(static_cast<std::size_t>(gateway_count)));
  customer.is_heavy = random.chance(demand.heavy_customer_share);
  const double quota_use = customer.is_heavy ? demand.heavy_quota_use : demand.normal_quota_use;
  customer.request_rate = quota.rate * quota_use / scenario.mean_units();
  customer.requested_bucket = TokenBucket(quota.rate, quota.burst, quota.burst, Duration(0));
  customer.forwarded_bucket = customer.requested_bucket;
  return customer;
}

}  // namespace

std::vector<Customer> make_customers(const Scenario& scenario, RandomStream& random) {
  std::vector<Customer> customers;
  for (std::size_t plan = 0; plan < scenario.plans.size(); ++plan)
    for (int i = 0; i < scenario.plans[plan].customers; ++i)
      customers.push_back(make_customer(scenario, plan, customers.size(), random));
  return customers;
}

}  // namespace ironquay::lab
