#include "net/http_response_parser.hpp"

#include <strings.h>

#include <charconv>

namespace ironquay::net {
namespace {

// Limits that only a faulty server exceeds: the length of a line, and the number of lines before the body.
constexpr std::size_t kMaxLineBytes = 8192;
constexpr int kMaxHeadLines = 100;

constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool equals_ignoring_case(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

// Returns false unless the whole text is a number in the given base.
bool parse_number(std::string_view text, int base, std::size_t& value) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, base);
  return !text.empty() && error == std::errc() && end == last;
}

}  // namespace

bool HttpResponseParser::is_in_body() const {
  return stage_ == Stage::chunk_data || stage_ == Stage::sized_body || stage_ == Stage::body_until_close;
}

// Returns the bytes at the start of `bytes` that belong to the body or to the current chunk.
std::string_view HttpResponseParser::take_body(std::string_view bytes) {
  if (stage_ == Stage::body_until_close) return bytes;
  const std::string_view piece = bytes.substr(0, remaining_bytes_);
  remaining_bytes_ -= piece.size();
  return piece;
}

// Proceeds to the next stage if the body or the current chunk is complete.
void HttpResponseParser::end_body_if_complete() {
  if (stage_ == Stage::body_until_close || remaining_bytes_ > 0) return;
  stage_ = stage_ == Stage::chunk_data ? Stage::chunk_end : Stage::complete;
}

// Parses the line at the start of `bytes` and returns its size with the line end. Returns 0 if the line is
// incomplete or too long.
std::size_t HttpResponseParser::consume_line(std::string_view bytes) {
  const auto end = bytes.find('\n');
  const bool is_complete = end != std::string_view::npos;
  const std::size_t line_bytes = is_complete ? end : bytes.size();
  if (line_bytes > kMaxLineBytes) stage_ = Stage::malformed;
  if (!is_complete || stage_ == Stage::malformed) return 0;
  std::string_view line = bytes.substr(0, end);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  on_line(line);
  return end + 1;
}

void HttpResponseParser::on_line(std::string_view line) {
  if (stage_ == Stage::headers) {
    on_head_line(line);
  } else if (stage_ == Stage::chunk_size) {
    on_chunk_size(line);
  } else if (stage_ == Stage::chunk_end) {
    stage_ = line.empty() ? Stage::chunk_size : Stage::malformed;
  } else if (line.empty()) {
    stage_ = Stage::complete;
  }
}

void HttpResponseParser::on_head_line(std::string_view line) {
  if (++head_lines_ > kMaxHeadLines) {
    stage_ = Stage::malformed;
  } else if (head_lines_ == 1) {
    on_status_line(line);
  } else if (line.empty()) {
    on_headers_end();
  } else {
    on_header(line);
  }
}

void HttpResponseParser::on_status_line(std::string_view line) {
  std::size_t code = 0;
  const bool is_http = line.starts_with("HTTP/1.") && line.size() >= 12;
  if (!is_http || !parse_number(line.substr(9, 3), kDecimal, code)) stage_ = Stage::malformed;
  status_ = static_cast<int>(code);
}

void HttpResponseParser::on_header(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    stage_ = Stage::malformed;
    return;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = trim(line.substr(colon + 1));
  if (equals_ignoring_case(name, "transfer-encoding")) chunked_ = equals_ignoring_case(value, "chunked");
  if (equals_ignoring_case(name, "content-length")) {
    has_content_length_ = true;
    if (!parse_number(value, kDecimal, remaining_bytes_)) stage_ = Stage::malformed;
  }
}

void HttpResponseParser::on_headers_end() {
  const bool is_interim = status_ / 100 == 1;
  if (is_interim) {
    head_lines_ = 0;
  } else if (chunked_) {
    stage_ = Stage::chunk_size;
  } else if (!has_content_length_) {
    stage_ = Stage::body_until_close;
  } else {
    stage_ = remaining_bytes_ > 0 ? Stage::sized_body : Stage::complete;
  }
}

void HttpResponseParser::on_chunk_size(std::string_view line) {
  const std::string_view size = trim(line.substr(0, line.find(';')));
  if (!parse_number(size, kHexadecimal, remaining_bytes_)) {
    stage_ = Stage::malformed;
  } else {
    stage_ = remaining_bytes_ == 0 ? Stage::trailers : Stage::chunk_data;
  }
}

}  // namespace ironquay::net
