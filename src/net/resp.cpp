#include "net/resp.hpp"

#include <charconv>
#include <limits>

namespace ironquay::net::resp {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
// A line that should hold a length is malformed if more bytes than this have arrived without the line end.
// Otherwise the parser could wait for a line end that never arrives.
constexpr std::size_t kMaxLengthDigits = 16;

// Parses the line that starts at `offset` and stores it in `text`, without its CRLF, and advances `offset`
// past the CRLF.
ParseStatus parse_line(std::string_view bytes, std::size_t& offset, std::string_view& text) {
  const auto end = bytes.find('\n', offset);
  if (end == std::string_view::npos)
    return bytes.size() - offset > kMaxLineBytes ? ParseStatus::malformed : ParseStatus::incomplete;
  if (end == offset || bytes[end - 1] != '\r' || end - offset > kMaxLineBytes) return ParseStatus::malformed;
  text = bytes.substr(offset, end - 1 - offset);
  offset = end + 1;
  return ParseStatus::complete;
}

// Parses a length from -1 (null) to `max`.
bool parse_length(std::string_view text, long max, long& length) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, length);
  return !text.empty() && error == std::errc() && end == last && length >= -1 && length <= max;
}

// Parses a line that consists of the type byte and a length, which is -1 for null, and advances `offset` past
// it.
ParseStatus parse_length_line(std::string_view bytes, std::size_t& offset, char type, long max,
                              long& length) {
  if (offset >= bytes.size()) return ParseStatus::incomplete;
  if (bytes[offset] != type) return ParseStatus::malformed;
  std::string_view text;
  std::size_t line_offset = offset + 1;
  const ParseStatus status = parse_line(bytes, line_offset, text);
  if (status == ParseStatus::incomplete && bytes.size() - offset > kMaxLengthDigits)
    return ParseStatus::malformed;
  if (status != ParseStatus::complete) return status;
  if (!parse_length(text, max, length)) return ParseStatus::malformed;
  offset = line_offset;
  return ParseStatus::complete;
}

ParseStatus parse_bulk_string(std::string_view bytes, std::size_t& offset, Element& element,
                              std::size_t max_value_bytes) {
  const std::size_t start = offset;
  long length = 0;
  const ParseStatus status =
      parse_length_line(bytes, offset, '$', static_cast<long>(max_value_bytes), length);
  if (status != ParseStatus::complete) return status;
  element.is_null = length < 0;
  if (!element.is_null) {
    const auto size = static_cast<std::size_t>(length);
    if (bytes.size() - offset < size + kLineEnd.size()) return ParseStatus::incomplete;
    element.text = bytes.substr(offset, size);
    if (bytes.substr(offset + size, kLineEnd.size()) != kLineEnd) return ParseStatus::malformed;
    offset += size + kLineEnd.size();
  }
  element.raw = bytes.substr(start, offset - start);
  return ParseStatus::complete;
}

bool is_line_type(char type) { return type == '+' || type == '-' || type == ':'; }

// Parses a load report or a cost, which may be a line of another type instead of a bulk string. The value of
// such a line cannot be used, but it can be skipped.
ParseStatus parse_bulk_string_or_line(std::string_view bytes, std::size_t& offset, Element& element,
                                      std::size_t max_value_bytes) {
  if (offset >= bytes.size()) return ParseStatus::incomplete;
  if (bytes[offset] == '$') return parse_bulk_string(bytes, offset, element, max_value_bytes);
  if (!is_line_type(bytes[offset])) return ParseStatus::malformed;
  const std::size_t start = offset++;
  const ParseStatus status = parse_line(bytes, offset, element.text);
  if (status == ParseStatus::complete) element.raw = bytes.substr(start, offset - start);
  return status;
}

ParseStatus parse_array(std::string_view bytes, std::size_t& offset, Reply& reply,
                        std::size_t max_value_bytes) {
  long elements = 0;
  const long max_elements = static_cast<long>(reply.elements.size());
  const ParseStatus header_status = parse_length_line(bytes, offset, '*', max_elements, elements);
  if (header_status != ParseStatus::complete) return header_status;
  reply.is_null = elements < 0;
  for (; static_cast<long>(reply.element_count) < elements; ++reply.element_count) {
    Element& element = reply.elements[reply.element_count];
    const bool is_first = reply.element_count == 0;
    const ParseStatus status = is_first ? parse_bulk_string(bytes, offset, element, max_value_bytes)
                                        : parse_bulk_string_or_line(bytes, offset, element, max_value_bytes);
    if (status != ParseStatus::complete) return status;
  }
  return ParseStatus::complete;
}

// Parses a reply whose type is already stored in `reply`.
ParseStatus parse_reply_of_type(std::string_view bytes, std::size_t& offset, Reply& reply,
                                std::size_t max_value_bytes) {
  if (reply.type == '*') return parse_array(bytes, offset, reply, max_value_bytes);
  if (reply.type == '$') {
    Element element;
    const ParseStatus status = parse_bulk_string(bytes, offset, element, max_value_bytes);
    if (status != ParseStatus::complete) return status;
    reply.text = element.text;
    reply.is_null = element.is_null;
    return ParseStatus::complete;
  }
  if (!is_line_type(reply.type)) return ParseStatus::malformed;
  offset = 1;
  return parse_line(bytes, offset, reply.text);
}

}  // namespace

ParseStatus parse_command(std::string_view bytes, Command& command) {
  long words = 0;
  std::size_t offset = 0;
  const ParseStatus header_status = parse_length_line(bytes, offset, '*', kMaxWords, words);
  if (header_status != ParseStatus::complete) return header_status;
  if (words < 1) return ParseStatus::malformed;
  command.word_count = static_cast<std::size_t>(words);
  for (std::size_t i = 0; i < command.word_count; ++i) {
    Element word;
    const ParseStatus status = parse_bulk_string(bytes, offset, word, kMaxValueBytes);
    if (status == ParseStatus::incomplete && bytes.size() > kMaxCommandBytes) return ParseStatus::malformed;
    if (status != ParseStatus::complete) return status;
    if (word.is_null || offset > kMaxCommandBytes) return ParseStatus::malformed;
    command.words[i] = word.text;
  }
  command.wire_bytes = offset;
  return ParseStatus::complete;
}

ParseStatus parse_reply(std::string_view bytes, Reply& reply, std::size_t max_value_bytes) {
  if (bytes.empty()) return ParseStatus::incomplete;
  reply = Reply();
  reply.type = bytes[0];
  std::size_t offset = 0;
  const ParseStatus status = parse_reply_of_type(bytes, offset, reply, max_value_bytes);
  if (status == ParseStatus::complete) reply.wire_bytes = offset;
  return status;
}

bool begins_with_bulk_string(std::string_view bytes) {
  long length = 0;
  std::size_t offset = 0;
  return parse_length_line(bytes, offset, '$', std::numeric_limits<long>::max(), length) ==
         ParseStatus::complete;
}

std::string_view find_field(std::string_view list, std::string_view name) {
  std::string_view found;
  for_each_field(list, [&](std::string_view field, std::string_view value) {
    if (field == name) found = value;
  });
  return found;
}

void append_array_header(std::string& out, std::size_t elements) {
  out.append("*").append(std::to_string(elements)).append("\r\n");
}

void append_bulk_string(std::string& out, std::string_view text) {
  out.append("$").append(std::to_string(text.size())).append("\r\n").append(text).append("\r\n");
}

}  // namespace ironquay::net::resp
