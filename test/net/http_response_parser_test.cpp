// Parsing of HTTP responses that arrive in pieces of any size.
#include "net/http_response_parser.hpp"

#include <catch2/catch.hpp>

namespace ironquay::net {
namespace {

/// The body that the parser extracts from `text` when it gets `step` bytes at a time.
std::string body_of(HttpResponseParser& parser, std::string_view text, std::size_t step) {
  std::string body;
  std::string unread;
  for (std::size_t at = 0; at < text.size(); at += step) {
    unread.append(text.substr(at, step));
    unread.erase(0, parser.consume(unread, [&](std::string_view piece) { body.append(piece); }));
  }
  return body;
}

TEST_CASE("a chunked response is parsed in pieces of any size") {
  const std::string text =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=1\r\nabc\r\n0A\r\n0123\n56789\r\n0\r\nT: "
      "1\r\n\r\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    HttpResponseParser parser;
    REQUIRE(body_of(parser, text, step) == "abc0123\n56789");
    REQUIRE(parser.status() == 200);
    REQUIRE(parser.stage() == HttpResponseParser::Stage::complete);
  }
}

TEST_CASE("a response with a length ends after it, and one without a length ends with its connection") {
  HttpResponseParser sized;
  HttpResponseParser until_close;
  REQUIRE(body_of(sized, "HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nxyz", 1) == "xy");
  REQUIRE(sized.status() == 404);
  REQUIRE(sized.stage() == HttpResponseParser::Stage::complete);
  REQUIRE(body_of(until_close, "HTTP/1.1 200 OK\r\n\r\nxyz", 1) == "xyz");
  REQUIRE(until_close.stage() == HttpResponseParser::Stage::body_until_close);
}

TEST_CASE("malformed HTTP responses are rejected") {
  for (const std::string text : {"-ERR no\r\n", "HTTP/1.1 abc\r\n", "HTTP/1.1 200 OK\r\nnothing\r\n",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"}) {
    HttpResponseParser parser;
    body_of(parser, text, 1);
    REQUIRE(parser.stage() == HttpResponseParser::Stage::malformed);
  }
  HttpResponseParser long_line;
  body_of(long_line, std::string(10000, 'x'), 10000);
  REQUIRE(long_line.stage() == HttpResponseParser::Stage::malformed);
}

}  // namespace
}  // namespace ironquay::net
