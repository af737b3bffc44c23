#include "lab/report/report.hpp"

#include <algorithm>
#include <iterator>
#include <set>

#include "lab/quantile.hpp"
#include "lab/report/confidence_interval.hpp"
#include "lab/report/number_format.hpp"
#include "lab/report/plot_writer.hpp"
#include "lab/report/run_reader.hpp"

namespace ironquay::lab {
namespace {

// The figures of a run that the report contains, by their keys in the output of emulate.
const std::vector<std::string> kReportedFigures = {
    "served_inside", "beyond_quota", "worst_customer_of_quota", "heavy_customer_of_quota", "counter_calls",
    "tries",         "hottest_cold"};
const std::vector<std::string> kGroupColumns = {"gatekeepers", "variant", "seeds", "rules"};
// The number of seeds that a confidence interval requires.
constexpr std::size_t kMinSeeds = 2;

void write_table_head(std::ostream& out) {
  out << "|";
  for (const std::string& column : kGroupColumns) out << " " << column << " |";
  for (const std::string& figure : kReportedFigures) out << " " << figure << " |";
  out << "\n|";
  for (std::size_t i = 0; i < kGroupColumns.size() + kReportedFigures.size(); ++i) out << " --- |";
  out << "\n";
}

void write_table_row(const RunGroup& group, const RunsBySeed& runs, std::ostream& out) {
  const auto violations = std::count_if(
      runs.begin(), runs.end(), [](const auto& entry) { return !entry.second.at("broken").is_null(); });
  out << "| " << group.gateways << " | " << group.variant << " | " << runs.size() << " | "
      << (violations ? std::to_string(violations) + " broken" : "kept") << " |";
  for (const std::string& figure : kReportedFigures) {
    std::vector<double> values;
    for (const auto& [seed, run] : runs) values.push_back(run.at(figure));
    const auto quantile = [&](double rank) { return format_number(interpolated_quantile(values, rank)); };
    out << " " << quantile(.5) << " (" << quantile(.25) << ", " << quantile(.75) << ") |";
  }
  out << "\n";
}

// Returns the difference of a figure, second variant minus first, for each seed that both variants have.
std::vector<double> paired_differences(const RunsBySeed& first, const RunsBySeed& second,
                                       const std::string& figure) {
  std::vector<double> differences;
  for (const auto& [seed, run] : first) {
    const auto other = second.find(seed);
    if (other == second.end()) continue;
    differences.push_back(other->second.at(figure).get<double>() - run.at(figure).get<double>());
  }
  return differences;
}

// Writes the mean difference and its confidence interval.
void write_difference(const std::vector<double>& differences, std::ostream& out) {
  if (differences.size() < kMinSeeds) {
    out << "too few seeds;";
    return;
  }
  const ConfidenceInterval interval = mean_confidence_interval(differences);
  const std::string mean = interval.contains_zero() ? "no difference seen" : format_number(interval.mean);
  out << mean << " (" << format_number(interval.low) << " to " << format_number(interval.high) << ");";
}

// Writes the differences between two variants in all figures.
void write_comparison(const Runs::value_type& first, const Runs::value_type& second, std::ostream& out) {
  out << "- " << first.first.gateways << " gatekeepers, " << first.first.variant << " and "
      << second.first.variant << ":";
  for (const std::string& figure : kReportedFigures) {
    out << " " << figure << " ";
    write_difference(paired_differences(first.second, second.second, figure), out);
  }
  out << "\n";
}

void write_table(const std::string& scenario, const Runs& runs, std::ostream& out) {
  out << "## " << scenario
      << "\n\nMedian over the seeds, quartiles in brackets. Servers and clients are simulated.\n\n";
  write_table_head(out);
  for (const auto& [group, by_seed] : runs)
    if (group.scenario == scenario) write_table_row(group, by_seed, out);
}

// Writes a comparison for each pair of variants with the same number of gateways.
void write_comparisons(const std::string& scenario, const Runs& runs, std::ostream& out) {
  out << "\nDifference for the same seeds, the second variant less the first, mean with its 95% "
         "interval.\n\n";
  for (auto first = runs.begin(); first != runs.end(); ++first) {
    if (first->first.scenario != scenario) continue;
    for (auto second = std::next(first); second != runs.end(); ++second) {
      const bool comparable =
          second->first.scenario == scenario && second->first.gateways == first->first.gateways;
      if (comparable) write_comparison(*first, *second, out);
    }
  }
  out << "\n";
}

}  // namespace

void write_report(const std::vector<std::string>& files, const std::string& plot_folder, std::ostream& out) {
  const Runs runs = read_runs(files, kReportedFigures);
  std::set<std::string> scenarios;
  for (const auto& [group, by_seed] : runs) scenarios.insert(group.scenario);
  for (const std::string& scenario : scenarios) {
    write_table(scenario, runs, out);
    write_comparisons(scenario, runs, out);
    if (!plot_folder.empty()) write_plot(scenario, runs, plot_folder);
  }
}

}  // namespace ironquay::lab
