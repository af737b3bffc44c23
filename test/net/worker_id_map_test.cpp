// Assignment of ids to workers.
#include "net/worker_id_map.hpp"

#include <catch2/catch.hpp>

#include "policy/fnv1a.hpp"

namespace ironquay::net {
namespace {

TEST_CASE("a worker's id is the hash of its name") {
  WorkerIdMap ids;
  REQUIRE(ids.id_of("s-5be2a07c") == fnv1a_32("s-5be2a07c"));
  REQUIRE(ids.id_of("s-5be2a07c") == fnv1a_32("s-5be2a07c"));
}

TEST_CASE("names with the same hash get different ids") {
  REQUIRE(fnv1a_32("costarring") == fnv1a_32("liquid"));
  WorkerIdMap ids;
  const WorkerId first = ids.id_of("costarring");
  REQUIRE(ids.id_of("liquid") == first + 1);
  REQUIRE(ids.id_of("costarring") == first);
}

TEST_CASE("the id of a removed worker can be assigned again") {
  WorkerIdMap ids;
  const WorkerId first = ids.id_of("costarring");
  const WorkerId other = ids.id_of("s-0");
  REQUIRE(ids.remove_if([&](WorkerId id) { return id == first; }) == std::vector<WorkerId>{first});
  REQUIRE(ids.id_of("liquid") == first);
  REQUIRE(ids.id_of("s-0") == other);
}

}  // namespace
}  // namespace ironquay::net
