// ironquay-lab load: sends requests to gateways at a given rate.
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/cli/command.hpp"
#include "lab/cli/interruption.hpp"
#include "lab/loadgen/load_generator.hpp"
#include "lab/loopback.hpp"
#include "lab/scenario/scenario_parser.hpp"
#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

constexpr std::uint64_t kDefaultMaxRequests = 1'000'000;

class LoadCommand : public Command {
 public:
  explicit LoadCommand(CLI::App& program)
      : Command(program.add_subcommand(
            "load", "Send open-loop load to gateways; latency is measured from the scheduled time")) {
    load_options_.max_requests = kDefaultMaxRequests;
    CLI::App& options = subcommand();
    options
        .add_option("SCENARIO", scenario_file_, "scenario, a TOML file; its routes, plans and units are used")
        ->required();
    options
        .add_option("--target", target_addresses_,
                    "address of a gateway in 127.0.0.0/8; repeat in the order of the gateways' indices")
        ->required();
    options.add_option("--rate", load_options_.rate, "requests per second")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 20000.0));
    options.add_option("--seconds", duration_seconds_, "duration in seconds")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 3600.0));
    options.add_option("--most", load_options_.max_requests, "maximum number of requests")
        ->capture_default_str();
    options.add_option("--seed", load_options_.seed, "seed of the schedule")->capture_default_str();
  }

  int run() override {
    for (const std::string& target : target_addresses_)
      load_options_.targets.push_back(parse_loopback_address(target));
    const Scenario scenario = read_scenario_file(scenario_file_);
    load_options_.duration = from_seconds(duration_seconds_);
    net::EventLoop loop;
    std::cout << generate_load(loop, scenario, load_options_, interruption_flag()).dump() << std::endl;
    return kSuccess;
  }

 private:
  std::string scenario_file_;
  std::vector<std::string> target_addresses_;
  double duration_seconds_ = 10;
  LoadOptions load_options_;
};

}  // namespace

std::unique_ptr<Command> make_load_command(CLI::App& program) {
  return std::make_unique<LoadCommand>(program);
}

}  // namespace ironquay::lab
