// RESP2, as far as it is spoken here. The parsers look at bytes that may not be whole yet and give slices.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace ironquay::net::resp {

enum class Parsed { whole, partial, malformed };

// A value holds so much at most. A command has five words by the protocol, one of them a value, and the
// others together are shorter than a line.
constexpr std::size_t kMostValue = 64 * 1024, kMostWords = 16, kMostLine = 4096;
constexpr std::size_t kMostCommand = kMostValue + kMostLine;

struct Command {
  std::array<std::string_view, kMostWords> words;
  std::size_t count = 0;
  std::size_t bytes = 0;  // that it took
};
Parsed parse_command(std::string_view bytes, Command& command);

struct Part {
  std::string_view text;
  std::string_view raw;  // as it stood on the wire
  bool null = false;
};
struct Reply {
  char type = 0;          // of RESP2: + - : $ *
  std::string_view text;  // of all but an array
  bool null = false;
  std::array<Part, 4> parts;  // of an array; those behind the first may be lines, whose text is the line's
  std::size_t count = 0;      // of the parts that could be read
  bool ragged = false;  // what follows the first part cannot be read, and so neither can what comes next
  std::size_t bytes = 0;
};
// Partial, the reply holds the parts that are whole. No part may be longer than `most`.
Parsed parse_reply(std::string_view bytes, Reply& reply, std::size_t most = kMostValue);

// Goes through a list such as "used=37,cost=4".
template <typename See>
void each_field(std::string_view list, See see) {
  while (!list.empty()) {
    const std::string_view one = list.substr(0, list.find(','));
    list.remove_prefix(std::min(list.size(), one.size() + 1));
    const auto equals = one.find('=');
    if (equals != std::string_view::npos) see(one.substr(0, equals), one.substr(equals + 1));
  }
}
// The value of one of its fields; empty if it is not there.
std::string_view field(std::string_view list, std::string_view name);

void append_word(std::string& out, std::string_view word);
void append_count(std::string& out, std::size_t words);

}  // namespace ironquay::net::resp
