// Writes the configuration with which a real gateway process runs a scenario between stub servers.
#pragma once
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/scenario/scenario.hpp"

namespace ironquay::lab {

// The addresses of a deployment's servers, each as "ADDRESS:PORT" with an IPv4 address.
struct DeploymentAddresses {
  std::vector<std::string> gateways;  // where the gateways listen, by gateway index
  std::string discovery;
  std::string counter;
};

// Returns the JSON object for the configuration file (GW_CONFIG) of the gateway with this index. Throws
// std::out_of_range if `addresses` has no such gateway.
nlohmann::ordered_json gateway_config(const Scenario& scenario, int index,
                                      const DeploymentAddresses& addresses);

}  // namespace ironquay::lab
