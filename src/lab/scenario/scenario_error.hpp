// Errors of the scenario parser.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace ironquay::lab {

// One error in a scenario file.
struct ScenarioIssue {
  std::uint32_t line = 0;  // line number, starting at 1
  std::string key;         // the invalid key or table; empty for syntax errors and for the file's top level
  std::string message;     // includes the key
};

// Thrown for an invalid scenario file. Contains all of its errors; what() has one line for each, in the form
// FILE:LINE: MESSAGE.
class ScenarioError : public std::runtime_error {
 public:
  ScenarioError(const std::string& file, std::vector<ScenarioIssue> issues)
      : std::runtime_error(format(file, issues)), issues_(std::move(issues)) {}
  const std::vector<ScenarioIssue>& issues() const { return issues_; }

 private:
  static std::string format(const std::string& file, const std::vector<ScenarioIssue>& issues) {
    std::string text;
    for (const ScenarioIssue& issue : issues) {
      if (!text.empty()) text += "\n";
      text += file + ":" + std::to_string(issue.line) + ": " + issue.message;
    }
    return text;
  }

  std::vector<ScenarioIssue> issues_;
};

}  // namespace ironquay::lab
