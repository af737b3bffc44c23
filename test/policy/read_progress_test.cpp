// When a client counts as one that does not read its responses.
#include "policy/read_progress.hpp"

#include <catch2/catch.hpp>

#include "support.hpp"

namespace ironquay {
namespace {

ReadRequirement requirement() {
  PolicySettings settings = default_settings();
  for (Route& route : settings.routes) route.client_timeout = 600ms;
  settings.routes[0].client_timeout = 2s;
  return {settings, 1000};
}

TEST_CASE("a client is too slow only after it has read less than its share for the longest client timeout") {
  ReadProgress progress;
  CHECK(!progress.is_too_slow(requirement(), 0s, 5000, 0));
  CHECK(!progress.is_too_slow(requirement(), 1900ms, 4001, 999));
  CHECK(progress.is_too_slow(requirement(), 2s, 4001, 999));
  CHECK(!progress.is_too_slow(requirement(), 2s, 4000, 1000));  // a new period begins
  CHECK(!progress.is_too_slow(requirement(), 3900ms, 4000, 1000));
  CHECK(progress.is_too_slow(requirement(), 4s, 4000, 1000));
}

TEST_CASE("a client that reads all that is unread is not too slow, however little that is") {
  ReadProgress progress;
  for (std::uint64_t read = 0; read < 10; ++read)
    CHECK(!progress.is_too_slow(requirement(), 1900ms * static_cast<int>(read), 1, read));
  CHECK(!progress.is_too_slow(requirement(), 30s, 0, 10));
  CHECK(!progress.is_too_slow(requirement(), 60s, 1, 10));  // nothing was unread in between
}

}  // namespace
}  // namespace ironquay
