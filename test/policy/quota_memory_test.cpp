// The bound on quota state. Guards against memory that grows with the number of customers, and against a
// customer that finds a full burst because its state was dropped.
#include <catch2/catch.hpp>

#include "support.hpp"

namespace ironquay {
namespace {

constexpr std::size_t kTwoCustomers = std::size_t{2} * 2 * 512;

/// Settings with memory for two customers.
PolicySettings small_memory() {
  PolicySettings settings = default_settings();
  settings.quota_memory_bytes = kTwoCustomers;
  return settings;
}

/// Delivers a request of the customer and the answer of worker 1.
void serve(Fixture& fixture, RequestId id, const std::string& customer, Duration now, double units = 1) {
  fixture.balancer.on_request(now, {id, customer, 0, 0, units, 0, 1, 3s, false});
  fixture.balancer.on_attempt_end(now, {id, 0, 1, Outcome::success, 10ms, true, 0});
}

TEST_CASE("a customer whose slice was dropped returns to the units that it left, not to a full burst") {
  Fixture fixture(small_memory());
  fixture.add_worker(1);
  for (RequestId id = 1; id <= 15; ++id) serve(fixture, id, "spender", 0s, 4);  // the whole burst of 60 units
  for (RequestId id = 20; id < 40; ++id) serve(fixture, id, "other" + std::to_string(id / 2), 1s);
  QuotaSlices& slices = fixture.modules.quota().slices();
  REQUIRE(slices.size() == 2);
  REQUIRE(slices.find("spender") == nullptr);
  const QuotaSlice& slice = slices.find_or_create("spender", 0, 1, 1s).slice;
  CHECK(slice.tokens <= 30.001);  // the refill of one second
  CHECK(slice.tokens >= 29.9);
}

TEST_CASE("customers that were seen once are displaced first, those with open requests not at all") {
  Fixture fixture(small_memory());
  fixture.add_worker(1);
  serve(fixture, 1, "recurring", 0s);
  serve(fixture, 2, "recurring", 0s);
  for (RequestId id = 10; id < 20; ++id) serve(fixture, id, "once" + std::to_string(id), 0s);
  QuotaSlices& slices = fixture.modules.quota().slices();
  CHECK(slices.find("recurring") != nullptr);
  fixture.balancer.on_request(0s, {30, "open", 0, 0, 1, 0, 1, 3s, false});
  for (RequestId id = 40; id < 50; ++id) serve(fixture, id, "more" + std::to_string(id), 0s);
  CHECK(slices.find("open") != nullptr);
  CHECK(slices.size() == 2);
}

TEST_CASE("no more calls to the counter are pending than there is memory for") {
  Fixture fixture(small_memory());  // memory for one call
  fixture.add_worker(1);
  fixture.arrive(1, 1, 3);
  for (RequestId id = 2; id <= 40; ++id) fixture.arrive(id, 4, 3);
  CHECK(fixture.effects.counter_amounts.size() == 1);
}

}  // namespace
}  // namespace ironquay
