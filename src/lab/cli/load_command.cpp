// ironquay-lab load: puts load on gateways.
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
      : Command(program.add_subcommand("load",
                                       "Open-loop load on gatekeepers; latency counts from the schedule")) {
    plan_.max_requests = kDefaultMaxRequests;
    CLI::App& options = subcommand();
    options.add_option("SCENARIO", file_, "TOML file: routes, plans and units are taken from it")->required();
    options
        .add_option("--target", targets_, "address of a gatekeeper in 127.0.0.0/8, in order of their numbers")
        ->required();
    options.add_option("--rate", plan_.rate, "API calls a second")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 20000.0));
    options.add_option("--seconds", seconds_, "for how long")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 3600.0));
    options.add_option("--most", plan_.max_requests, "API calls in all")->capture_default_str();
    options.add_option("--seed", plan_.seed, "of the schedule")->capture_default_str();
  }

  int run() override {
    for (const std::string& target : targets_) plan_.targets.push_back(parse_loopback_address(target));
    const Scenario scenario = read_scenario_file(file_);
    plan_.length = from_seconds(seconds_);
    net::EventLoop loop;
    std::cout << generate_load(loop, scenario, plan_, interruption_flag()).dump() << std::endl;
    return kSuccess;
  }

 private:
  std::string file_;
  std::vector<std::string> targets_;
  double seconds_ = 10;
  LoadOptions plan_;
};

}  // namespace

std::unique_ptr<Command> make_load_command(CLI::App& program) {
  return std::make_unique<LoadCommand>(program);
}

}  // namespace ironquay::lab
