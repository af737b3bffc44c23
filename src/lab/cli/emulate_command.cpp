// ironquay-lab emulate: runs a scenario in simulated time.
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/cli/command.hpp"
#include "lab/emulator/emulation.hpp"
#include "lab/scenario/scenario_parser.hpp"

namespace ironquay::lab {
namespace {

class EmulateCommand : public Command {
 public:
  explicit EmulateCommand(CLI::App& program)
      : Command(program.add_subcommand(
            "emulate", "Run a scenario in simulated time and print one line of JSON per seed")) {
    CLI::App& options = subcommand();
    options.add_option("SCENARIO", scenario_file_, "scenario, a TOML file; see docs/laboratory.md")
        ->required();
    options.add_option("--seed", first_seed_, "first seed")->capture_default_str();
    options.add_option("--seeds", seed_count_, "number of consecutive seeds")
        ->capture_default_str()
        ->check(CLI::Range(1, 10000));
    options
        .add_option("--scale", scale_factor_,
                    "factor for the numbers of gateways, workers and customers and for the counter's rate")
        ->capture_default_str()
        ->check(CLI::Range(1, 1000));
    options.add_flag("--slices-alone", slices_alone_,
                     "baseline without the counter: only local quota slices, no pooled share");
  }

  int run() override {
    Scenario scenario = read_scenario_file(scenario_file_);
    scale(scenario, scale_factor_);
    if (slices_alone_) scenario.policy_settings.capabilities.counter = false;
    int exit_code = kSuccess;
    for (int i = 0; i < seed_count_; ++i) {
      const auto figures = run_seed(scenario, first_seed_ + static_cast<std::uint32_t>(i));
      if (report_violation(figures)) exit_code = kInvariantViolation;
    }
    return exit_code;
  }

 private:
  // Runs the scenario with one seed and prints its figures.
  nlohmann::ordered_json run_seed(const Scenario& scenario, std::uint32_t seed) const {
    auto figures = emulate(scenario, seed);
    figures["variant"] = slices_alone_ ? "slices alone" : "pool";
    figures["version"] = IRONQUAY_VERSION;
    std::cout << figures.dump() << std::endl;
    return figures;
  }

  // Prints the first invariant violation of a run, if any, to standard error. Returns whether there is one.
  bool report_violation(const nlohmann::ordered_json& figures) const {
    const auto& violation = figures["broken"];
    if (violation.is_null()) return false;
    std::cerr << scenario_file_ << ": seed " << figures["seed"]
              << ": invariant violated: " << violation["rule"].get<std::string>() << ", at "
              << violation["at_s"] << " s, request " << violation["call"] << ", worker "
              << violation["worker"] << "\n";
    return true;
  }

  std::string scenario_file_;
  std::uint32_t first_seed_ = 1;
  int seed_count_ = 1;
  int scale_factor_ = 1;
  bool slices_alone_ = false;
};

}  // namespace

std::unique_ptr<Command> make_emulate_command(CLI::App& program) {
  return std::make_unique<EmulateCommand>(program);
}

}  // namespace ironquay::lab
