#include "report.hpp"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdint>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace ironquay::lab {
namespace {

using Json = nlohmann::json;

// What is told of each run, and whether more of it is better does not matter here.
const std::vector<std::string> kFigures = {
    "served_inside", "beyond_quota", "worst_customer_of_quota", "heavy_customer_of_quota", "counter_calls",
    "tries",         "hottest_cold"};

// Scenario, gatekeepers, variant; then figures by seed.
struct Group {
  std::string scenario;
  int gatekeepers = 0;
  std::string variant;
  auto operator<=>(const Group&) const = default;
};
using Runs = std::map<Group, std::map<std::uint64_t, Json>>;

Runs read_runs(const std::vector<std::string>& files) {
  Runs runs;
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) throw std::runtime_error(file + ": cannot be read");
    std::string text;
    for (int line = 1; std::getline(in, text); ++line) {
      if (text.empty()) continue;
      Json run = Json::parse(text, nullptr, false);
      try {
        for (const std::string& figure : kFigures) run.at(figure).get<double>();
        const Group group{run.at("scenario"), run.at("gatekeepers"), run.at("variant")};
        const auto seed = run.at("seed").get<std::uint64_t>();
        if (!runs[group].emplace(seed, std::move(run)).second)
          throw std::runtime_error("seed " + std::to_string(seed) + " stands there twice");
      } catch (const std::exception& error) {
        throw std::runtime_error(file + ":" + std::to_string(line) + ": no run: " + error.what());
      }
    }
  }
  if (runs.empty()) throw std::runtime_error("no runs");
  return runs;
}

double quantile(std::vector<double> values, double part) {
  std::sort(values.begin(), values.end());
  const double at = part * static_cast<double>(values.size() - 1);
  const auto below = static_cast<std::size_t>(at);
  const double next = values[std::min(below + 1, values.size() - 1)];
  return values[below] + (next - values[below]) * (at - static_cast<double>(below));
}

std::string text(double value) {
  char digits[32];
  std::snprintf(digits, sizeof digits, "%.3f", value);
  return digits;
}

void write_plot(const std::string& scenario, const Runs& runs, const std::string& folder) {
  const std::string base = folder + "/" + scenario;
  std::ofstream plot(base + ".gp");
  if (!plot) throw std::runtime_error(base + ".gp: cannot be written");
  plot << "set terminal svg size 900,480\nset output '" << scenario << ".svg'\n"
       << "set title '" << scenario
       << ": what heavy customers get of their quota (median over seeds; simulated)'\n"
       << "set xlabel 'seconds'\nset ylabel 'units admitted a second over the quota'\nset yrange [0:*]\nset "
          "key outside\nplot 1 dashtype 2 title 'quota'";
  for (const auto& [group, by_seed] : runs) {
    if (group.scenario != scenario) continue;
    const std::string name = scenario + "-" + std::to_string(group.gatekeepers) + "-" +
                             (group.variant == "pool" ? "pool" : "slices");
    std::ofstream data(folder + "/" + name + ".dat");
    const std::size_t many = by_seed.begin()->second.at("per_second").size();
    for (std::size_t second = 0; second + 1 < many; ++second) {
      std::vector<double> sent;
      for (const auto& [seed, run] : by_seed)
        sent.push_back(run.at("per_second").at(second).at(3).get<double>() /
                       std::max(1e-9, run.at("heavy_quota").get<double>()));
      data << second << " " << text(quantile(sent, 0.5)) << "\n";
    }
    plot << ", '" << name << ".dat' with lines title '" << group.gatekeepers << ", " << group.variant << "'";
  }
  plot << "\n";
}

}  // namespace

Interval interval_of(const std::vector<double>& values) {
  const double many = static_cast<double>(values.size());
  Interval out;
  for (const double value : values) out.mean += value / many;
  double square = 0;
  for (const double value : values) square += (value - out.mean) * (value - out.mean) / (many - 1);
  const boost::math::students_t_distribution<double> student(many - 1);
  const double half = boost::math::quantile(student, 0.975) * std::sqrt(square / many);
  out.low = out.mean - half;
  out.high = out.mean + half;
  return out;
}

int report_on(const std::vector<std::string>& files, const std::string& plots, std::ostream& out) {
  const Runs runs = read_runs(files);
  std::set<std::string> scenarios;
  for (const auto& [group, by_seed] : runs) scenarios.insert(group.scenario);
  for (const std::string& scenario : scenarios) {
    out << "## " << scenario
        << "\n\nMedian over the seeds, quartiles in brackets. Servers and clients are simulated.\n\n"
        << "| gatekeepers | variant | seeds | rules |";
    for (const std::string& figure : kFigures) out << " " << figure << " |";
    out << "\n|";
    for (std::size_t i = 0; i < kFigures.size() + 4; ++i) out << " --- |";
    out << "\n";
    for (const auto& [group, by_seed] : runs) {
      if (group.scenario != scenario) continue;
      const auto broken = std::count_if(by_seed.begin(), by_seed.end(),
                                        [](const auto& one) { return !one.second.at("broken").is_null(); });
      out << "| " << group.gatekeepers << " | " << group.variant << " | " << by_seed.size() << " | "
          << (broken ? std::to_string(broken) + " broken" : "kept") << " |";
      for (const std::string& figure : kFigures) {
        std::vector<double> values;
        for (const auto& [seed, run] : by_seed) values.push_back(run.at(figure));
        out << " " << text(quantile(values, .5)) << " (" << text(quantile(values, .25)) << ", "
            << text(quantile(values, .75)) << ") |";
      }
      out << "\n";
    }
    out << "\nDifference for the same seeds, the second variant less the first, mean with its 95% "
           "interval.\n\n";
    for (auto one = runs.begin(); one != runs.end(); ++one)
      for (auto other = std::next(one); other != runs.end(); ++other) {
        if (one->first.scenario != scenario || other->first.scenario != scenario ||
            one->first.gatekeepers != other->first.gatekeepers)
          continue;
        out << "- " << one->first.gatekeepers << " gatekeepers, " << one->first.variant << " and "
            << other->first.variant << ":";
        for (const std::string& figure : kFigures) {
          std::vector<double> differences;
          for (const auto& [seed, run] : one->second)
            if (const auto pair = other->second.find(seed); pair != other->second.end())
              differences.push_back(pair->second.at(figure).get<double>() - run.at(figure).get<double>());
          out << " " << figure << " ";
          if (differences.size() < 2) {
            out << "too few seeds;";
            continue;
          }
          const Interval found = interval_of(differences);
          if (found.low <= 0 && found.high >= 0) {
            out << "no difference seen (" << text(found.low) << " to " << text(found.high) << ");";
          } else {
            out << text(found.mean) << " (" << text(found.low) << " to " << text(found.high) << ");";
          }
        }
        out << "\n";
      }
    out << "\n";
    if (!plots.empty()) write_plot(scenario, runs, plots);
  }
  return 0;
}

}  // namespace ironquay::lab
