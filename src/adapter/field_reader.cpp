#include "adapter/field_reader.hpp"

#include <algorithm>

namespace ironquay::adapter {
namespace {

Duration from_milliseconds(double milliseconds) { return Duration(std::llround(milliseconds * 1000.0)); }

}  // namespace

FieldReader::FieldReader(std::string_view line) : remainder_(line) { message_name_ = text("message name"); }

std::string_view FieldReader::text(const char* field) {
  if (at_end_) fail(field, "is missing");
  const std::size_t tab = remainder_.find('\t');
  const std::string_view value = remainder_.substr(0, tab);
  if (tab == std::string_view::npos) {
    at_end_ = true;
  } else {
    remainder_.remove_prefix(tab + 1);
  }
  return value;
}

std::string_view FieldReader::remainder(const char* field) {
  if (at_end_) fail(field, "is missing");
  at_end_ = true;
  return remainder_;
}

Duration FieldReader::duration(const char* field) { return from_milliseconds(number<double>(field)); }

Duration FieldReader::duration_or_zero(const char* field) {
  return from_milliseconds(number_or<double>(field, 0));
}

bool FieldReader::flag(const char* field) {
  const std::string_view value = text(field);
  if (value != "0" && value != "1") fail(field, "must be 0 or 1");
  return value == "1";
}

std::string FieldReader::hex_bytes(const char* field) {
  std::string_view digits = text(field);
  std::string bytes;
  if (digits == "-") return bytes;
  if (digits.size() % 2 != 0) fail(field, "must consist of pairs of hexadecimal digits");
  for (; !digits.empty(); digits.remove_prefix(2)) {
    unsigned byte = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + 2, byte, 16);
    if (error != std::errc() || end != digits.data() + 2)
      fail(field, "must consist of pairs of hexadecimal digits");
    bytes.push_back(static_cast<char>(byte));
  }
  return bytes;
}

void FieldReader::check_load_report(const char* field, std::size_t expected_count) {
  const std::string_view report = text(field);
  if (report == "-" || report.empty()) return;
  std::size_t count = 0;
  for (std::size_t start = 0; start <= report.size();) {
    const std::size_t comma = std::min(report.find(',', start), report.size());
    const std::string_view value = report.substr(start, comma - start);
    if (value != "-") parse_number<double>(value, field);
    ++count;
    start = comma + 1;
  }
  if (count != expected_count) fail(field, "does not have the number of values that the settings define");
}

void FieldReader::expect_end() const {
  if (!at_end_) throw ProtocolError(std::string(message_name_) + ": too many fields");
}

void FieldReader::fail(const char* field, const char* problem) const {
  throw ProtocolError(std::string(message_name_) + ": " + field + " " + problem);
}

}  // namespace ironquay::adapter
