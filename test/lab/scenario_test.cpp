// Tests of the scenario parser and its error messages.
#include <catch2/catch.hpp>
#include <string>

#include "lab/scenario/scenario_parser.hpp"
#include "support.hpp"

namespace ironquay::lab {
namespace {

// Returns the parser's error message, or an empty string if it accepts the text.
std::string parse_error(const std::string& text) {
  try {
    parse_scenario(text, "x.toml");
  } catch (const ScenarioError& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("the error for an invalid scenario has a line with file, line number and reason for each issue") {
  CHECK(parse_error(scenario_text("")) == "");
  CHECK(parse_error("length_ms = ").substr(0, 9) == "x.toml:1:");
  CHECK(parse_error(scenario_text("manny = 3")) == "x.toml:4: unknown key gatekeepers.manny");
  CHECK(parse_error(scenario_text("tries = \"six\"")) == "x.toml:4: gatekeepers.tries must be a number");
  CHECK(parse_error(scenario_text("tries = 1.5")) == "x.toml:4: gatekeepers.tries must be an integer");
  CHECK(parse_error(scenario_text("shift_ms = -1")) ==
        "x.toml:4: gatekeepers.shift_ms must be between 0 and 3600000");
  CHECK(parse_error(scenario_text("shift_ms = nan")).find("must be between") != std::string::npos);
  CHECK(parse_error(scenario_text("[[fault]]\nkind = \"worker-hang\"\nworkers = [3, 10]\n")) ==
        "x.toml:6: fault[0].workers must contain indices of existing workers only");
  CHECK(parse_error(scenario_text("[[fault]]\nkind = \"comet\"\n")) ==
        "x.toml:4: fault[0]: unknown kind 'comet'");
  const std::string valid_text = scenario_text("");
  CHECK(parse_error(std::string(valid_text).replace(valid_text.find("quota = 10"), 10, "quota = 0")) ==
        "x.toml:12: plan[0].quota must be between 0.001 and 1000000000");
  CHECK(parse_error("length_ms = 1000\n[[plan]]\nx = 1\ny = 2\n") ==
        "x.toml:3: unknown key plan[0].x\nx.toml:4: unknown key plan[0].y\nx.toml:1: at least one [[route]] "
        "is required");
}

TEST_CASE("a ScenarioError lists every issue with its line and key") {
  try {
    parse_scenario(scenario_text("manny = 3\ntries = 0\n[workers]\nfall_ms = 0\n"), "x.toml");
    FAIL("the parser accepted an invalid scenario");
  } catch (const ScenarioError& error) {
    REQUIRE(error.issues().size() == 3);
    CHECK(error.issues()[0].line == 5);
    CHECK(error.issues()[0].key == "gatekeepers.tries");
    CHECK(error.issues()[1].line == 4);
    CHECK(error.issues()[1].key == "gatekeepers.manny");
    CHECK(error.issues()[2].line == 6);
    CHECK(error.issues()[2].key == "workers");
    CHECK(error.issues()[2].message == "workers: fall_ms must be greater than 0");
  }
}

}  // namespace
}  // namespace ironquay::lab
