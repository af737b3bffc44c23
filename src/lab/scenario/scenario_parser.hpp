// Reads scenarios from TOML files and validates them completely, so that no run starts with an invalid
// scenario.
#pragma once
#include <string>
#include <string_view>

#include "lab/scenario/scenario.hpp"
#include "lab/scenario/scenario_error.hpp"

namespace ironquay::lab {

// Parses the text of a scenario file. `file_name` is used in error messages only. Throws ScenarioError with
// all errors of the text.
Scenario parse_scenario(std::string_view text, const std::string& file_name);

// Reads and parses a scenario file. Throws std::runtime_error if the file cannot be read, and ScenarioError
// if it is invalid.
Scenario read_scenario_file(const std::string& path);

}  // namespace ironquay::lab
