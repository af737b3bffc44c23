// Parsing and writing of RESP2, limited to what the gateway's protocols use.
//
// The input of the parsers may end in the middle of a message. Their results contain views into the input.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace ironquay::net::resp {

enum class ParseStatus {
  complete,
  incomplete,  // parse again when more bytes have arrived
  malformed,   // further bytes cannot make the message valid
};

// The maximum length of a word in a command, and the default for values in a reply.
constexpr std::size_t kMaxValueBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxWords = 16;  // the maximum number of words in a command
// The maximum length of a line.
constexpr std::size_t kMaxLineBytes = 4096;
// The protocol permits one long word in a command. All other words together are shorter than a line.
constexpr std::size_t kMaxCommandBytes = kMaxValueBytes + kMaxLineBytes;

// A command: an array of bulk strings.
struct Command {
  std::array<std::string_view, kMaxWords> words;
  std::size_t word_count = 0;  // at least one
  std::size_t wire_bytes = 0;  // the size of the command on the wire
};

// Parses the command at the start of `bytes`. `command` is valid only if the result is `complete`.
ParseStatus parse_command(std::string_view bytes, Command& command);

// An element of an array in a reply.
struct Element {
  std::string_view text;
  std::string_view raw;  // the element in wire format
  bool is_null = false;
};

struct Reply {
  char type = 0;          // the first byte on the wire: + - : $ *
  std::string_view text;  // the value, unless the reply is an array
  bool is_null = false;
  // The elements, if the reply is an array. The first one is a bulk string, the others may be lines.
  std::array<Element, 4> elements;
  std::size_t element_count = 0;
  std::size_t wire_bytes = 0;  // the size of the reply on the wire
};

// Parses the reply at the start of `bytes`. `reply` is valid only if the result is `complete`. A bulk string
// of more than `max_value_bytes` is malformed.
ParseStatus parse_reply(std::string_view bytes, Reply& reply, std::size_t max_value_bytes = kMaxValueBytes);

// Whether `bytes` begin with the length line of a bulk string, or with a null bulk string.
bool begins_with_bulk_string(std::string_view bytes);

// Calls visit(name, value) for each field of a list such as "used=37,cost=4", in order. Skips entries without
// "=".
template <typename Visit>
void for_each_field(std::string_view list, Visit visit) {
  while (!list.empty()) {
    const std::string_view entry = list.substr(0, list.find(','));
    list.remove_prefix(std::min(list.size(), entry.size() + 1));
    const auto equals = entry.find('=');
    if (equals != std::string_view::npos) visit(entry.substr(0, equals), entry.substr(equals + 1));
  }
}

// Returns the value of the last field with this name; empty if there is none.
std::string_view find_field(std::string_view list, std::string_view name);

// Appends `text` as a bulk string.
void append_bulk_string(std::string& out, std::string_view text);
// Appends the header of an array with `elements` elements. The caller appends the elements.
void append_array_header(std::string& out, std::size_t elements);

}  // namespace ironquay::net::resp
