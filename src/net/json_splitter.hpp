// Splits a stream of bytes into JSON objects. It looks only at brackets and string literals and does not
// parse the objects. An object may extend over several lines.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "net/buffer_memory.hpp"

namespace ironquay::net {

class JsonSplitter {
 public:
  // Limits on the size and the nesting of an object, which only a faulty server exceeds. An endpoint list of
  // 10,000 workers has about 2 MB and three levels.
  static constexpr std::size_t kMaxObjectBytes = 16 * 1024 * 1024;
  static constexpr int kMaxDepth = 32;

  // Processes the next bytes of the stream. Calls `on_object` with each complete object, as a view that is
  // valid during the call, and `on_line` for each line that ends between objects.
  // Returns false if the stream contains anything but objects and white space, or exceeds a limit. All later
  // calls then return false as well.
  template <typename OnObject, typename OnLine>
  bool feed(std::string_view bytes, OnObject on_object, OnLine on_line) {
    std::size_t object_start = 0;
    for (std::size_t at = 0; at < bytes.size() && !malformed_; ++at) {
      if (depth_ == 0) object_start = at;
      const Boundary boundary = advance(bytes[at]);
      if (boundary == Boundary::line_end) on_line();
      if (boundary == Boundary::object_end)
        emit_object(bytes.substr(object_start, at + 1 - object_start), on_object);
    }
    if (!malformed_ && depth_ > 0) partial_object_.append(bytes.substr(object_start));
    malformed_ = malformed_ || partial_object_.size() > kMaxObjectBytes;
    return !malformed_;
  }

 private:
  // What ends with a byte: an object, a line between objects, or neither.
  enum class Boundary { none, object_end, line_end };

  // Processes one byte and returns what it ends.
  Boundary advance(char byte);
  void advance_in_string(char byte);

  template <typename OnObject>
  void emit_object(std::string_view last_piece, OnObject& on_object) {
    if (partial_object_.empty()) {
      on_object(last_piece);
    } else {
      on_object(std::string_view(partial_object_.append(last_piece)));
    }
    release_memory(partial_object_);
  }

  std::string partial_object_;  // the received part of an object that is incomplete
  int depth_ = 0;               // number of open objects and arrays; 0 between objects
  bool in_string_ = false;      // within a string literal
  bool escaped_ = false;        // the previous byte was the backslash of an escape sequence
  bool malformed_ = false;
};

}  // namespace ironquay::net
