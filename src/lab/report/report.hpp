// Writes a Markdown report on emulator runs: statistics of the figures over the seeds, and differences
// between the variants of a scenario.
#pragma once
#include <ostream>
#include <string>
#include <vector>

namespace ironquay::lab {

// Reads files with the output of `ironquay-lab emulate` and writes the report to `out`. Unless `plot_folder`
// is empty, also writes a gnuplot file and its data files for each scenario into that folder. Throws
// std::runtime_error if a file cannot be read or written, or contains an invalid run. what() names the file,
// and the line of an invalid run.
void write_report(const std::vector<std::string>& files, const std::string& plot_folder, std::ostream& out);

}  // namespace ironquay::lab
