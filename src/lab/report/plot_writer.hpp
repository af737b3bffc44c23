// Writes the gnuplot files of the report.
#pragma once
#include <string>

#include "lab/report/run_reader.hpp"

namespace ironquay::lab {

// Writes SCENARIO.gp and one data file for each group of the scenario's runs into `folder`. A data file
// contains, for each second, the units that were forwarded for heavy customers, divided by their quota
// (median over the seeds). Throws std::runtime_error if SCENARIO.gp cannot be written.
void write_plot(const std::string& scenario, const Runs& runs, const std::string& folder);

}  // namespace ironquay::lab
