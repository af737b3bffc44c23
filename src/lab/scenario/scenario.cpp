#include "lab/scenario/scenario.hpp"

namespace ironquay::lab {

void scale(Scenario& scenario, int factor) {
  scenario.policy_settings.gateway_count *= factor;
  scenario.workers.count *= factor;
  scenario.counter.rate *= factor;
  for (PlanDemand& plan : scenario.plans) plan.customers *= factor;
}

}  // namespace ironquay::lab
