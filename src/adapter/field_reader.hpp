// Parses one line of the simulator's protocol.
//
// A line consists of a message name and its fields, separated by single tabs. A field without a value is
// written as "-".
#pragma once
#include <charconv>
#include <cmath>
#include <string>
#include <string_view>
#include <type_traits>

#include "adapter/errors.hpp"
#include "policy/types.hpp"

namespace ironquay::adapter {

// Reads the fields of a line from left to right. Each reading function takes the next field; its `field`
// parameter is the name of that field in error messages. Throws ProtocolError if the field is missing or
// malformed.
class FieldReader {
 public:
  // Reads the message name. Does not copy `line`, which must outlive the reader and every view that it
  // returns.
  explicit FieldReader(std::string_view line);

  std::string_view message_name() const { return message_name_; }

  std::string_view text(const char* field);
  // Returns the unread part of the line, including its tabs.
  std::string_view remainder(const char* field);
  template <typename T>
  T number(const char* field);
  // Returns `fallback` if the field has no value.
  template <typename T>
  T number_or(const char* field, T fallback);
  // Reads a duration or a point in time, written in milliseconds with an optional fraction.
  Duration duration(const char* field);
  // Returns zero if the field has no value.
  Duration duration_or_zero(const char* field);
  // Reads a boolean, written as 0 or 1.
  bool flag(const char* field);
  // Decodes bytes that are written as pairs of hexadecimal digits. Returns no bytes if the field has no
  // value.
  std::string hex_bytes(const char* field);
  // Returns the value that `values_by_name` holds for the field. Throws ProtocolError if it holds none.
  template <typename Map>
  typename Map::mapped_type mapped_value(const char* field, const Map& values_by_name);
  // Checks that a load report is empty or consists of `expected_count` comma-separated values. Each value is
  // a number, or "-" if the worker does not report it.
  void check_load_report(const char* field, std::size_t expected_count);
  // Throws ProtocolError if the line has unread fields.
  void expect_end() const;

 private:
  [[noreturn]] void fail(const char* field, const char* problem) const;
  template <typename T>
  T parse_number(std::string_view text, const char* field) const;

  std::string_view remainder_;
  std::string_view message_name_ = "line";
  bool at_end_ = false;  // whether all fields of the line have been read
};

template <typename T>
T FieldReader::number(const char* field) {
  return parse_number<T>(text(field), field);
}

template <typename T>
T FieldReader::number_or(const char* field, T fallback) {
  const std::string_view value = text(field);
  return value == "-" ? fallback : parse_number<T>(value, field);
}

template <typename Map>
typename Map::mapped_type FieldReader::mapped_value(const char* field, const Map& values_by_name) {
  const auto found = values_by_name.find(text(field));
  if (found == values_by_name.end()) fail(field, "has an unknown value");
  return found->second;
}

template <typename T>
T FieldReader::parse_number(std::string_view text, const char* field) const {
  T value{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last) fail(field, "is not a valid number");
  if constexpr (std::is_floating_point_v<T>) {
    if (!std::isfinite(value)) fail(field, "is not a valid number");
  }
  return value;
}

}  // namespace ironquay::adapter
