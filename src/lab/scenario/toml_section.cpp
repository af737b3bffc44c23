#include "lab/scenario/toml_section.hpp"

#include <cmath>

namespace ironquay::lab {
namespace {

constexpr NumberRange kDurationRangeMs{0, 3.6e6};

const toml::array kEmptyArray;
const toml::table kEmptyTable;

// Formats a number without trailing zeros.
std::string format_number(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

}  // namespace

TomlSection::TomlSection(const toml::table& table, std::string name, std::vector<ScenarioIssue>& issues)
    : table_(table), name_(std::move(name)), issues_(issues) {}

TomlSection::~TomlSection() {
  for (const auto& [key, node] : table_) {
    if (read_keys_.contains(key.str())) continue;
    add_issue(node.source(), qualified_key(key.str()), "unknown key " + qualified_key(key.str()));
  }
}

double TomlSection::number(const char* key, double default_value, NumberRange range) {
  const toml::node* node = read_node(key);
  if (!node) return default_value;
  const auto value = node->value<double>();
  if (!node->is_number() || !value) {
    reject(*node, key, "must be a number");
    return default_value;
  }
  // The comparison is negated so that NaN counts as out of range.
  if (!(*value >= range.min && *value <= range.max)) {
    reject(*node, key, "must be between " + format_number(range.min) + " and " + format_number(range.max));
    return default_value;
  }
  return *value;
}

int TomlSection::integer(const char* key, int default_value, IntegerRange range) {
  const double value =
      number(key, default_value, NumberRange{static_cast<double>(range.min), static_cast<double>(range.max)});
  if (value != std::floor(value)) {
    reject(*table_.get(key), key, "must be an integer");
    return default_value;
  }
  return static_cast<int>(value);
}

Duration TomlSection::duration(const char* key, Duration default_value) {
  const double default_ms = std::chrono::duration<double, std::milli>(default_value).count();
  return Duration(std::llround(number(key, default_ms, kDurationRangeMs) * 1000));
}

bool TomlSection::boolean(const char* key, bool default_value) {
  const toml::node* node = read_node(key);
  if (node && !node->is_boolean()) reject(*node, key, "must be true or false");
  return node ? node->value_or(default_value) : default_value;
}

std::string TomlSection::string(const char* key, const std::string& default_value) {
  const toml::node* node = read_node(key);
  if (node && !node->is_string()) reject(*node, key, "must be a string");
  return node ? node->value_or(default_value) : default_value;
}

const toml::array& TomlSection::array(const char* key) {
  const toml::node* node = read_node(key);
  if (node && !node->is_array()) reject(*node, key, "must be an array");
  return node && node->is_array() ? *node->as_array() : kEmptyArray;
}

const toml::table& TomlSection::table(const char* key) {
  const toml::node* node = read_node(key);
  if (node && !node->is_table()) reject(*node, key, "must be a table");
  return node && node->is_table() ? *node->as_table() : kEmptyTable;
}

void TomlSection::reject(const toml::node& node, const char* key, const std::string& reason) {
  add_issue(node.source(), qualified_key(key), qualified_key(key) + " " + reason);
}

void TomlSection::reject(const std::string& reason) {
  add_issue(table_.source(), name_, name_.empty() ? reason : name_ + ": " + reason);
}

std::string TomlSection::qualified_key(std::string_view key) const {
  return (name_.empty() ? "" : name_ + ".") + std::string(key);
}

const toml::node* TomlSection::read_node(const char* key) {
  read_keys_.insert(key);
  return table_.get(key);
}

void TomlSection::add_issue(const toml::source_region& source, const std::string& key,
                            const std::string& message) {
  issues_.push_back({source.begin.line, key, message});
}

}  // namespace ironquay::lab
