// Reads the results of emulator runs.
#pragma once
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace ironquay::lab {

// The properties that the runs of a group share. The runs of a group differ only in their seeds.
struct RunGroup {
  std::string scenario;
  int gateways = 0;
  std::string variant;
  bool operator<(const RunGroup& other) const {
    return std::tie(scenario, gateways, variant) < std::tie(other.scenario, other.gateways, other.variant);
  }
};

// The figures of one run, as `ironquay-lab emulate` prints them.
using Run = nlohmann::json;
using RunsBySeed = std::map<std::uint64_t, Run>;
using Runs = std::map<RunGroup, RunsBySeed>;

// Reads the runs of all files. Throws std::runtime_error if a file cannot be read, a line is not a run with
// all the required figures, a seed occurs twice in a group, or there are no runs. what() names the file, and
// the line of an invalid run.
Runs read_runs(const std::vector<std::string>& files, const std::vector<std::string>& required_figures);

}  // namespace ironquay::lab
