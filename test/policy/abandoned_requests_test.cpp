// Requests that must not be executed again after their clients have disconnected.
#include "policy/abandoned_requests.hpp"

#include <catch2/catch.hpp>

#include "support.hpp"

namespace ironquay {
namespace {

TEST_CASE("abandoned requests are remembered for the longest client timeout, within the memory for them") {
  const PolicySettings settings = default_settings();
  constexpr std::size_t kIdempotentRoute = 0;
  constexpr std::size_t kNonIdempotentRoute = 2;
  AbandonedRequests abandoned(settings, 2 * 64);
  abandoned.on_disconnect("a", kIdempotentRoute, 1, 0s);
  abandoned.on_disconnect("b", kNonIdempotentRoute, 0, 0s);
  CHECK_FALSE(abandoned.contains("a", 0s));
  CHECK_FALSE(abandoned.contains("b", 0s));
  abandoned.on_disconnect("c", kNonIdempotentRoute, 1, 0s);
  CHECK(abandoned.contains("c", 2999ms));
  CHECK_FALSE(abandoned.contains("c", 3000ms));
  for (const char* id : {"d", "e", "f"}) abandoned.on_disconnect(id, kNonIdempotentRoute, 1, 4s);
  CHECK_FALSE(abandoned.contains("d", 4s));
  CHECK((abandoned.contains("e", 4s) && abandoned.contains("f", 4s)));
}

}  // namespace
}  // namespace ironquay
