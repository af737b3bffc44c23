// The conversion of reported start times while Unix time is set forward and back.
#include "policy/shared_clock.hpp"

#include <catch2/catch.hpp>

namespace ironquay {
namespace {

using namespace std::chrono_literals;

constexpr Duration kNow = 100h;
constexpr Duration kUnixOffset = 20'000h;

TEST_CASE("a start time is converted with the setting of Unix time that makes the process youngest") {
  const Duration step = GENERATE(-3600s, -2s, 2s, 3600s);
  SharedClock clock;
  clock.set_offset(kUnixOffset);
  clock.set_offset(kUnixOffset + 1ms);  // an adjustment
  CHECK(clock.start_time(kNow + kUnixOffset - 5s, kNow) == kNow - 5s - 1ms);
  clock.set_offset(kUnixOffset + step);
  CHECK(clock.unix_time(kNow) == kNow + kUnixOffset + step);
  for (const Duration reported_with : {kUnixOffset, kUnixOffset + step}) {
    const Duration start = clock.start_time(kNow - 3s + reported_with, kNow);
    CHECK(start >= kNow - 3s - 1ms);  // never older than it is
    CHECK(start <= kNow + 1s);
  }
}

TEST_CASE("a start time far in the future counts as now") {
  SharedClock clock;
  clock.set_offset(kUnixOffset);
  CHECK(clock.start_time(kNow + kUnixOffset + 3600s, kNow) == kNow + 1s);
}

}  // namespace
}  // namespace ironquay
