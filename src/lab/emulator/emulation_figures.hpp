// Computes the figures of a finished emulation and formats them as JSON.
#pragma once
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "lab/emulator/customer.hpp"
#include "lab/emulator/emulated_counter.hpp"
#include "lab/emulator/emulated_workers.hpp"
#include "lab/emulator/gossip_network.hpp"
#include "lab/emulator/invariant_checker.hpp"
#include "lab/emulator/traffic_statistics.hpp"
#include "lab/scenario/scenario.hpp"

namespace ironquay::lab {

// The state at the end of a run from which the figures are computed.
struct EmulationResults {
  const Scenario& scenario;
  std::uint32_t seed;
  const TrafficStatistics& statistics;
  const std::vector<Customer>& customers;
  const EmulatedWorkers& workers;
  const EmulatedCounter& counter;
  const GossipNetwork& gossip;
  const InvariantChecker& invariants;
};

// Returns the JSON object that `ironquay-lab emulate` prints on one line. The caller of emulate() adds the
// variant and the version.
nlohmann::ordered_json emulation_figures(const EmulationResults& results);

}  // namespace ironquay::lab
