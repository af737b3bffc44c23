// An incremental parser of one HTTP/1.1 response: it extracts the status and the decoded body from bytes that
// arrive in pieces.
#pragma once
#include <cstddef>
#include <string_view>

namespace ironquay::net {

class HttpResponseParser {
 public:
  // The part of the response to which the next bytes belong.
  enum class Stage {
    headers,           // the status line and the headers
    chunk_size,        // the line before the data of a chunk
    chunk_data,        // the data of a chunk
    chunk_end,         // the line end after the data of a chunk
    trailers,          // the lines after the last chunk
    sized_body,        // a body whose length is given by Content-Length
    body_until_close,  // a body without a given length, which ends when the connection is closed
    complete,          // the response has ended
    malformed,         // the response is invalid; no further bytes are consumed
  };

  // Parses as many bytes as possible and returns how many it has consumed. The caller must pass the rest
  // again, followed by further bytes. Calls `on_body` with pieces of the body, which are views into `bytes`.
  template <typename OnBody>
  std::size_t consume(std::string_view bytes, OnBody on_body) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !has_ended()) {
      const std::string_view rest = bytes.substr(consumed);
      if (is_in_body()) {
        const std::string_view piece = take_body(rest);
        consumed += piece.size();
        on_body(piece);
        end_body_if_complete();
      } else {
        const std::size_t line_bytes = consume_line(rest);
        if (line_bytes == 0) break;
        consumed += line_bytes;
      }
    }
    return consumed;
  }

  // The HTTP status code, or 0 before the status line is parsed. Interim responses (1xx) are skipped; the
  // status code of an interim response is returned until the next status line is parsed.
  int status() const { return status_; }
  Stage stage() const { return stage_; }

 private:
  bool has_ended() const { return stage_ == Stage::complete || stage_ == Stage::malformed; }
  bool is_in_body() const;
  std::string_view take_body(std::string_view bytes);
  void end_body_if_complete();
  std::size_t consume_line(std::string_view bytes);
  void on_line(std::string_view line);
  void on_head_line(std::string_view line);
  void on_status_line(std::string_view line);
  void on_header(std::string_view line);
  void on_headers_end();
  void on_chunk_size(std::string_view line);

  Stage stage_ = Stage::headers;
  int status_ = 0;
  int head_lines_ = 0;    // lines parsed before the body, the status line included
  bool chunked_ = false;  // the transfer encoding is chunked
  bool has_content_length_ = false;
  std::size_t remaining_bytes_ = 0;  // bytes of the body, or of the current chunk, that are not consumed yet
};

}  // namespace ironquay::net
