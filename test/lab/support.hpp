// Helpers of the laboratory's tests: small scenarios, and runs of the ironquay-lab program.
#pragma once
#include <sys/wait.h>

#include <cstdlib>
#include <string>

#include "lab/scenario/scenario_parser.hpp"

namespace ironquay::lab {

// Returns the text of a scenario with two gateways, one route "r" and one plan "p". `tables` starts at line
// 4, directly after the first key of the table [gatekeepers]. It may begin with further keys of that table;
// other tables may follow those keys. `route` and `plan` hold further keys of the route and the plan.
inline std::string scenario_text(const std::string& tables, const std::string& route = "",
                                 const std::string& plan = "") {
  return "length_ms = 4000\n[gatekeepers]\nmany = 2\n" + tables +
         "\n[[route]]\nname = \"r\"\nwork_ms = 50\n" + route +
         "\n[[plan]]\nname = \"p\"\ncustomers = 20\nquota = 10\n" + plan + "\n";
}

inline Scenario make_scenario(const std::string& tables, const std::string& route = "",
                              const std::string& plan = "") {
  return parse_scenario(scenario_text(tables, route, plan), "test.toml");
}

// Returns the path of lab/NAME.toml in the source tree.
inline std::string scenario_path(const std::string& name) {
  return std::string(IRONQUAY_ROOT) + "/lab/" + name + ".toml";
}

// Runs ironquay-lab and returns its exit code, or -1 if a signal ended it.
inline int lab_exit_code(const std::string& arguments) {
  const std::string command = std::string(IRONQUAY_LAB) + " " + arguments + " >/dev/null 2>&1";
  const int status = std::system(command.c_str());
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace ironquay::lab
