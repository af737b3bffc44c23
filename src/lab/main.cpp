// ironquay-lab: tries designs at sizes that sockets do not reach.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "emulation.hpp"
#include "report.hpp"

namespace {

using namespace ironquay::lab;

// Not to be mixed up with wrong usage: what the scenario asks for was run, and a rule broke.
constexpr int kWrong = 2, kBroken = 3;

int emulate_file(const std::string& file, std::uint32_t first, int seeds, int times, bool slices_alone) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": cannot be read\n";
    return kWrong;
  }
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  int code = 0;
  Scenario scenario = read_scenario(text, file);
  scale(scenario, times);
  if (slices_alone) scenario.terms.permits.counter = false;
  for (int i = 0; i < seeds; ++i) {
    auto figures = emulate(scenario, first + static_cast<std::uint32_t>(i));
    figures["variant"] = slices_alone ? "slices alone" : "pool";
    figures["version"] = IRONQUAY_VERSION;
    std::cout << figures.dump() << std::endl;
    const auto& broken = figures["broken"];
    if (broken.is_null()) continue;
    std::cerr << file << ": seed " << figures["seed"]
              << ": rule broken: " << broken["rule"].get<std::string>() << ", at " << broken["at_s"]
              << " s, call " << broken["call"] << ", worker " << broken["worker"] << "\n";
    code = kBroken;
  }
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Ironquay's laboratory");
  app.require_subcommand(1);
  std::string file;
  std::uint32_t seed = 1;
  int seeds = 1, times = 1;
  bool slices_alone = false;
  std::vector<std::string> runs;
  std::string plots;
  CLI::App* emulate =
      app.add_subcommand("emulate", "Run a scenario in simulated time; a line of JSON for each seed");
  emulate->add_option("SCENARIO", file, "TOML file, see docs/laboratory.md")->required();
  emulate->add_option("--seed", seed, "the first seed")->capture_default_str();
  emulate->add_option("--seeds", seeds, "how many")->capture_default_str()->check(CLI::Range(1, 10000));
  emulate->add_option("--scale", times, "gatekeepers, workers, customers and counter, so many times over")
      ->capture_default_str()
      ->check(CLI::Range(1, 1000));
  emulate->add_flag("--slices-alone", slices_alone,
                    "the plain baseline: local slices, no pool on the counter");
  CLI::App* report = app.add_subcommand("report", "Compare runs over their seeds, as Markdown");
  report->add_option("RUN", runs, "files of JSON lines as emulate prints them")->required();
  report->add_option("--plots", plots, "folder for data and gnuplot files");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return app.exit(error);
    std::cerr << "ironquay-lab: " << error.what() << "\n";
    return kWrong;
  }
  try {
    if (*report) return report_on(runs, plots, std::cout);
    return emulate_file(file, seed, seeds, times, slices_alone);
  } catch (const std::runtime_error& bad) {
    std::cerr << bad.what() << "\n";
    return kWrong;
  }
}
