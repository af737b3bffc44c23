// Tests of the report on emulator runs.
#include "lab/report/report.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "lab/emulator/emulation.hpp"
#include "lab/report/confidence_interval.hpp"
#include "support.hpp"

namespace ironquay::lab {
namespace {

// Writes a run file with four seeds in two variants. The variants differ only in the number of attempts per
// request, which is 0.5 higher for "slices alone".
void write_runs(const std::string& path) {
  const Scenario scenario = make_scenario("");
  std::ofstream file(path);
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    auto figures = emulate(scenario, seed);
    figures["variant"] = "pool";
    file << figures.dump() << "\n";
    figures["variant"] = "slices alone";
    figures["tries"] = figures["tries"].get<double>() + 0.5;
    file << figures.dump() << "\n";
  }
}

TEST_CASE("a report states which figures of two variants differ, and rejects files that are not runs") {
  const ConfidenceInterval interval = mean_confidence_interval({1, 2, 3, 4});
  CHECK(interval.mean == Approx(2.5));
  // 3.182 is the 97.5% quantile of the t distribution with three degrees of freedom, and 5/3 is the
  // sample variance.
  CHECK(interval.high - interval.mean == Approx(3.182 * std::sqrt(5.0 / 3) / 2).epsilon(0.001));
  const std::string runs = "/tmp/ironquay-lab-runs-" + std::to_string(getpid()) + ".jsonl";
  write_runs(runs);
  std::ostringstream out;
  CHECK_NOTHROW(write_report({runs}, "", out));
  CHECK(out.str().find("tries 0.500 (0.500 to 0.500)") != std::string::npos);
  CHECK(out.str().find("served_inside no difference seen (0.000 to 0.000)") != std::string::npos);
  CHECK_THROWS_WITH(write_report({runs, runs}, "", out),
                    Catch::Contains(runs + ":1: invalid run: duplicate seed 1"));
  std::ofstream(runs) << "{\"scenario\": 3}\n";
  CHECK_THROWS_WITH(write_report({runs}, "", out), Catch::Contains(runs + ":1: invalid run"));
  std::remove(runs.c_str());
}

}  // namespace
}  // namespace ironquay::lab
