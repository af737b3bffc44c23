// How long the input of clients may be processed at a stretch.
#include "policy/input_scheduling.hpp"

#include <catch2/catch.hpp>

#include "support.hpp"

namespace ironquay {
namespace {

TEST_CASE("one turn of every client together takes a small part of the shortest client timeout") {
  PolicySettings settings = default_settings();
  for (Route& route : settings.routes) route.client_timeout = route.latency_objective = 3200ms;
  settings.routes[1].latency_objective = 640ms;
  settings.tick = 2ms;
  CHECK(InputScheduling(settings, 400).turn() == 100us);  // 640 ms / 16 / 400
  CHECK(InputScheduling(settings, 1).turn() == 2ms);      // no longer than a round
  CHECK(InputScheduling(settings, 100'000).turn() > 0us);
  CHECK(InputScheduling(settings, 400).round() == 2ms);
}

}  // namespace
}  // namespace ironquay
