// The record that the harness keeps of its own pauses.
#include "pause_recorder.hpp"

#include <cstdlib>

namespace ironquay::net {
namespace {

TEST_CASE("a pause of the test process is recorded with its time, and running is not") {
  const PauseRecorder recorder;
  const auto before = Clock::now();
  REQUIRE(std::system("kill -STOP $PPID; sleep 0.4; kill -CONT $PPID") == 0);
  const auto after = Clock::now();
  REQUIRE(wait_until([&] { return !recorder.pauses().empty(); }, 5ms));
  const Pause pause = recorder.pauses().front();
  REQUIRE(pause.end - pause.begin >= 350ms);
  REQUIRE(pause.begin >= before - 50ms);
  REQUIRE(recorder.covers(pause.begin + 200ms));
  REQUIRE(!recorder.covers(before - 100ms));
  REQUIRE(!recorder.covers(after + 500ms));
}

}  // namespace
}  // namespace ironquay::net
