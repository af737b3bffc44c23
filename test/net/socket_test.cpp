// Parsing and formatting of socket addresses.
#include "net/socket.hpp"

#include <catch2/catch.hpp>

namespace ironquay::net {
namespace {

TEST_CASE("only a numeric IPv4 address with a nonzero port is parsed") {
  REQUIRE(to_string(*parse_address("127.0.0.1:6379")) == "127.0.0.1:6379");
  for (const char* text :
       {"", "127.0.0.1", "localhost:1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "1.2:3x"})
    REQUIRE_FALSE(parse_address(text));
}

}  // namespace
}  // namespace ironquay::net
