// ironquay-lab config: prints the configuration of a gateway that runs against stubs.
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/cli/command.hpp"
#include "lab/loadgen/gateway_config_writer.hpp"
#include "lab/loopback.hpp"
#include "lab/scenario/scenario_parser.hpp"

namespace ironquay::lab {
namespace {

// Returns the address in its normal form. Throws std::runtime_error if it is not a loopback address.
std::string normalized_loopback_address(const std::string& address) {
  return net::to_string(parse_loopback_address(address));
}

class ConfigCommand : public Command {
 public:
  explicit ConfigCommand(CLI::App& program)
      : Command(program.add_subcommand(
            "config", "Print the configuration of a gateway that runs against stubs, as JSON")) {
    CLI::App& options = subcommand();
    options.add_option("SCENARIO", scenario_file_, "scenario, a TOML file")->required();
    options
        .add_option("--listen", gateway_addresses_, "address of each gateway, in the order of their indices")
        ->required();
    options.add_option("--discovery", discovery_address_, "address of the discovery agent")->required();
    options.add_option("--counter", counter_address_, "address of the counter")->required();
    options.add_option("--me", gateway_index_, "index of the gateway, from 0")->capture_default_str();
  }

  int run() override {
    DeploymentAddresses addresses;
    addresses.discovery = normalized_loopback_address(discovery_address_);
    addresses.counter = normalized_loopback_address(counter_address_);
    for (const std::string& gateway : gateway_addresses_)
      addresses.gateways.push_back(normalized_loopback_address(gateway));
    if (gateway_index_ < 0 || gateway_index_ >= static_cast<int>(gateway_addresses_.size()))
      throw std::runtime_error("--me must be the index of one of the --listen addresses");
    std::cout << gateway_config(read_scenario_file(scenario_file_), gateway_index_, addresses).dump(1)
              << std::endl;
    return kSuccess;
  }

 private:
  std::string scenario_file_;
  std::vector<std::string> gateway_addresses_;
  std::string discovery_address_;
  std::string counter_address_;
  int gateway_index_ = 0;
};

}  // namespace

std::unique_ptr<Command> make_config_command(CLI::App& program) {
  return std::make_unique<ConfigCommand>(program);
}

}  // namespace ironquay::lab
