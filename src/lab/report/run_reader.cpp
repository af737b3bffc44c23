#include "lab/report/run_reader.hpp"

#include <fstream>
#include <stdexcept>

namespace ironquay::lab {
namespace {

// Parses a line and adds its run. Throws std::exception if the line is not a valid run.
void add_run(const std::string& line, const std::vector<std::string>& required_figures, Runs& runs) {
  Run run = Run::parse(line, nullptr, false);
  for (const std::string& figure : required_figures) run.at(figure).get<double>();
  const RunGroup group{run.at("scenario"), run.at("gatekeepers"), run.at("variant")};
  const auto seed = run.at("seed").get<std::uint64_t>();
  if (!runs[group].emplace(seed, std::move(run)).second)
    throw std::runtime_error("duplicate seed " + std::to_string(seed));
}

void read_file(const std::string& file, const std::vector<std::string>& required_figures, Runs& runs) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error(file + ": cannot be read");
  std::string text;
  for (int line = 1; std::getline(in, text); ++line) {
    if (text.empty()) continue;
    try {
      add_run(text, required_figures, runs);
    } catch (const std::exception& error) {
      throw std::runtime_error(file + ":" + std::to_string(line) + ": invalid run: " + error.what());
    }
  }
}

}  // namespace

Runs read_runs(const std::vector<std::string>& files, const std::vector<std::string>& required_figures) {
  Runs runs;
  for (const std::string& file : files) read_file(file, required_figures, runs);
  if (runs.empty()) throw std::runtime_error("the files contain no runs");
  return runs;
}

}  // namespace ironquay::lab
