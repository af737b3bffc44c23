// Typed access to the tables of a TOML file. Collects all errors instead of stopping at the first one.
#pragma once
#include <toml++/toml.h>

#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "lab/scenario/scenario_error.hpp"
#include "policy/types.hpp"

namespace ironquay::lab {

// The range of valid values of a key, including both bounds.
struct NumberRange {
  double min = 0;
  double max = 0;
};
struct IntegerRange {
  int min = 0;
  int max = 0;
};

// Reads one table of a TOML file. A getter returns the default if the key is absent, and records an issue if
// the value is invalid. The destructor records an issue for each unknown key, that is, for each key that no
// getter has read.
class TomlSection {
 public:
  // `name` is the prefix of the keys in messages and is empty for the top level of the file. `table` and
  // `issues` must outlive this object.
  TomlSection(const toml::table& table, std::string name, std::vector<ScenarioIssue>& issues);
  ~TomlSection();
  TomlSection(const TomlSection&) = delete;
  TomlSection& operator=(const TomlSection&) = delete;

  double number(const char* key, double default_value, NumberRange range);
  int integer(const char* key, int default_value, IntegerRange range);
  // Reads a duration, written in milliseconds. The maximum is one hour.
  Duration duration(const char* key, Duration default_value);
  bool boolean(const char* key, bool default_value);
  std::string string(const char* key, const std::string& default_value);
  // Returns the elements of an array, or none if it is absent or invalid.
  const toml::array& array(const char* key);
  // Returns a nested table, or an empty one if it is absent or invalid.
  const toml::table& table(const char* key);
  // Calls `parse` with a TomlSection for each table of an array of tables.
  template <typename Parse>
  void for_each_table(const char* key, Parse parse) {
    std::size_t index = 0;
    for (const toml::node& node : array(key)) {
      const std::string name = std::string(key) + "[" + std::to_string(index++) + "]";
      if (const toml::table* table = node.as_table()) {
        TomlSection section(*table, name, issues_);
        parse(section);
      } else {
        add_issue(node.source(), name, name + " must be a table");
      }
    }
  }

  // Records an issue with the value of one key, at the line of `node`. The message is the key followed by
  // `reason`, a predicate such as "must be a number".
  void reject(const toml::node& node, const char* key, const std::string& reason);
  // Records an issue with the whole section, at its line. `reason` is a complete clause.
  void reject(const std::string& reason);

 private:
  // Returns the key with the section's name as its prefix.
  std::string qualified_key(std::string_view key) const;
  // Returns the node of a key, or null if it is absent, and marks the key as read.
  const toml::node* read_node(const char* key);
  void add_issue(const toml::source_region& source, const std::string& key, const std::string& message);

  const toml::table& table_;
  std::string name_;
  std::vector<ScenarioIssue>& issues_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace ironquay::lab
