#include "adapter/reply_builder.hpp"

#include <charconv>

namespace ironquay::adapter {
namespace {

// Characters in the longest number. Without an exponent, a finite double has up to 309 digits before the
// decimal point or about 1,080 digits after it, but the shortest text that reads back as the same value is
// below this limit.
constexpr std::size_t kMaxNumberLength = 400;

}  // namespace

ReplyBuilder& ReplyBuilder::begin_action(std::string_view instance_name, std::string_view action) {
  if (current_instance_name_ != instance_name) write_instance_name(instance_name);
  lines_.append(action);
  return *this;
}

ReplyBuilder& ReplyBuilder::add(std::string_view text) {
  lines_.push_back('\t');
  lines_.append(text);
  return *this;
}

ReplyBuilder& ReplyBuilder::add(double number) {
  char text[kMaxNumberLength];
  const auto [end, error] = std::to_chars(text, text + sizeof text, number, std::chars_format::fixed);
  return add(std::string_view(text, end));
}

ReplyBuilder& ReplyBuilder::add(Duration duration) {
  return add(static_cast<double>(duration.count()) / 1000.0);
}

ReplyBuilder& ReplyBuilder::add_hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  lines_.push_back('\t');
  if (bytes.empty()) lines_.push_back('-');
  for (const char character : bytes) {
    const auto byte = static_cast<unsigned char>(character);
    lines_.push_back(kDigits[byte >> 4]);
    lines_.push_back(kDigits[byte & 15]);
  }
  return *this;
}

void ReplyBuilder::end_action() { lines_.push_back('\n'); }

void ReplyBuilder::add_panic(std::string_view instance_name, std::string_view text) {
  write_instance_name(instance_name);
  begin_action(instance_name, "PANIC").add(text).end_action();
}

void ReplyBuilder::send(std::string_view batch, std::ostream& out) {
  lines_.append("ACK\t").append(batch).push_back('\n');
  out.write(lines_.data(), static_cast<std::streamsize>(lines_.size()));
  out.flush();
  lines_.clear();
  current_instance_name_.clear();
}

void ReplyBuilder::write_instance_name(std::string_view instance_name) {
  current_instance_name_ = instance_name;
  lines_.append("AS\t").append(instance_name).push_back('\n');
}

}  // namespace ironquay::adapter
