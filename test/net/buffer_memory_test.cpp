// The memory of connections' buffers. Guards against buffers that keep the memory of the largest message that
// a connection has ever carried (docs/incidents/client-memory.md).
#include "net/buffer_memory.hpp"

#include <catch2/catch.hpp>

namespace ironquay::net {
namespace {

TEST_CASE("a buffer that is released holds no memory") {
  std::string buffer(60000, 'x');
  REQUIRE(allocated_bytes(buffer) >= 60000);
  release_memory(buffer);
  REQUIRE(buffer.empty());
  REQUIRE(allocated_bytes(buffer) == 0);
}

}  // namespace
}  // namespace ironquay::net
