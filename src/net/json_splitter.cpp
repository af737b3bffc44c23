#include "net/json_splitter.hpp"

namespace ironquay::net {

JsonSplitter::Boundary JsonSplitter::advance(char byte) {
  if (in_string_) {
    advance_in_string(byte);
    return Boundary::none;
  }
  if (depth_ == 0 && byte != '{') {
    malformed_ = byte != ' ' && byte != '\t' && byte != '\r' && byte != '\n';
    return byte == '\n' ? Boundary::line_end : Boundary::none;
  }
  if (byte == '"') in_string_ = true;
  if (byte == '{' || byte == '[') malformed_ = ++depth_ > kMaxDepth;
  const bool closes = byte == '}' || byte == ']';
  if (closes && --depth_ == 0) return Boundary::object_end;
  return Boundary::none;
}

void JsonSplitter::advance_in_string(char byte) {
  if (escaped_) {
    escaped_ = false;
  } else if (byte == '\\') {
    escaped_ = true;
  } else if (byte == '"') {
    in_string_ = false;
  }
}

}  // namespace ironquay::net
