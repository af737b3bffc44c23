// Builds the reply to one batch of events: one line for each action, followed by the acknowledgement.
#pragma once
#include <charconv>
#include <concepts>
#include <limits>
#include <ostream>
#include <string>
#include <string_view>

#include "policy/types.hpp"

namespace ironquay::adapter {

class ReplyBuilder {
 public:
  // Starts the line of an action. If the previous action in the reply belongs to another instance, or there
  // is none, first adds a line that names the instance.
  ReplyBuilder& begin_action(std::string_view instance_name, std::string_view action);
  // These functions add one field to the current line. A duration is written in milliseconds.
  ReplyBuilder& add(std::string_view text);
  ReplyBuilder& add(double number);
  ReplyBuilder& add(Duration duration);
  template <std::integral Integer>
  ReplyBuilder& add(Integer number);
  // Adds the bytes as pairs of hexadecimal digits, or "-" if there are none.
  ReplyBuilder& add_hex(std::string_view bytes);
  void end_action();

  // Reports that the instance failed and cannot continue. Always adds a line that names the instance first.
  void add_panic(std::string_view instance_name, std::string_view text);

  // Adds the acknowledgement of `batch`, writes the reply to `out`, flushes it, and starts an empty reply.
  void send(std::string_view batch, std::ostream& out);

 private:
  void write_instance_name(std::string_view instance_name);

  std::string lines_;
  std::string current_instance_name_;  // the instance named last in this reply; empty if none has been named
};

template <std::integral Integer>
ReplyBuilder& ReplyBuilder::add(Integer number) {
  // digits10 is one less than the number of digits of the largest value. One more character is for the sign.
  char text[std::numeric_limits<Integer>::digits10 + 2];
  const auto [end, error] = std::to_chars(text, text + sizeof text, number);
  return add(std::string_view(text, end));
}

}  // namespace ironquay::adapter
