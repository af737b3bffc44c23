#include "lab/report/plot_writer.hpp"

#include <algorithm>
#include <fstream>
#include <stdexcept>

#include "lab/quantile.hpp"
#include "lab/report/number_format.hpp"

namespace ironquay::lab {
namespace {

// In an element of "per_second", the index of the units that were forwarded for heavy customers.
constexpr std::size_t kHeavyUnitsIndex = 3;
// Lower bound, in units per second, of the quota that heavy_customers_quota_use() divides by. It avoids 0/0
// in a scenario without heavy customers.
constexpr double kMinQuota = 1e-9;

// The name of the group's data file, without its extension.
std::string data_name(const RunGroup& group) {
  return group.scenario + "-" + std::to_string(group.gateways) + "-" +
         (group.variant == "pool" ? "pool" : "slices");
}

// The units that were forwarded for heavy customers in the given second of the run, divided by their quota.
double heavy_customers_quota_use(const Run& run, std::size_t second) {
  const double units = run.at("per_second").at(second).at(kHeavyUnitsIndex).get<double>();
  return units / std::max(kMinQuota, run.at("heavy_quota").get<double>());
}

void write_data(const std::string& path, const RunsBySeed& runs) {
  std::ofstream data(path);
  const std::size_t seconds = runs.begin()->second.at("per_second").size();
  // Omits the last element, because it does not cover a whole second.
  for (std::size_t second = 0; second + 1 < seconds; ++second) {
    std::vector<double> quota_uses;
    for (const auto& [seed, run] : runs) quota_uses.push_back(heavy_customers_quota_use(run, second));
    data << second << " " << format_number(interpolated_quantile(quota_uses, 0.5)) << "\n";
  }
}

}  // namespace

void write_plot(const std::string& scenario, const Runs& runs, const std::string& folder) {
  const std::string path = folder + "/" + scenario + ".gp";
  std::ofstream plot(path);
  if (!plot) throw std::runtime_error(path + ": cannot be written");
  plot << "set terminal svg size 900,480\n"
       << "set output '" << scenario << ".svg'\n"
       << "set title '" << scenario
       << ": what heavy customers get of their quota (median over seeds; simulated)'\n"
       << "set xlabel 'seconds'\n"
       << "set ylabel 'units admitted a second over the quota'\n"
       << "set yrange [0:*]\n"
       << "set key outside\n"
       << "plot 1 dashtype 2 title 'quota'";
  for (const auto& [group, by_seed] : runs) {
    if (group.scenario != scenario) continue;
    const std::string name = data_name(group);
    write_data(std::string(folder).append("/").append(name).append(".dat"), by_seed);
    plot << ", '" << name << ".dat' with lines title '" << group.gateways << ", " << group.variant << "'";
  }
  plot << "\n";
}

}  // namespace ironquay::lab
