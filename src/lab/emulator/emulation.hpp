// Runs a scenario in simulated time.
#pragma once
#include <cstdint>
#include <nlohmann/json_fwd.hpp>

#include "lab/emulator/policy_under_test.hpp"
#include "lab/scenario/scenario.hpp"

namespace ironquay::lab {

// Emulates gateways, workers, counter, discovery and clients. The run ends when the timeout of every client
// has passed, or soon after the first violation of an invariant. Returns the figures of the run, which
// docs/laboratory.md explains. The same scenario and seed give the same figures.
nlohmann::ordered_json emulate(const Scenario& scenario, std::uint32_t seed,
                               const PolicyFactory& make_policy = make_load_balancer_policy);

}  // namespace ironquay::lab
