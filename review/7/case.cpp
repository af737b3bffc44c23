// Three clients pipeline lookups with long answers behind an order. Do they get their answers?
// claim.txt quotes the rule and the limits of the disruption.
#include "pipelines.hpp"

namespace review {
namespace {

// The length of the answers in each round, with a new gateway each. How much memory the gateway's buffer takes for the
// same content depends on it. The first round that breaks the rule ends the case.
constexpr std::size_t kValueBytesOfRounds[] = {57344, 59392, 55296, 61440, 53248, 65536, 63488, 51200};
constexpr std::size_t kChunkBytes = 20 * kValueBytes;  // of the answers to the commands that are sent at once

PipelinePlan plan_of_round(std::size_t value_bytes) {
  return {.clients = 3,
          .commands = static_cast<int>(kChunkBytes / value_bytes),
          .chunks = 10,
          .step = 100ms,
          .spread = 60ms,
          .waves = 2,
          .pause = 4s,
          .value_bytes = value_bytes};
}

int play_round(Record& record, std::size_t value_bytes) {
  PipelineDay day(record, plan_of_round(value_bytes));
  if (!day.gateway().becomes_ready()) return kCouldNotRun;
  day.play([&] { return day.gateway().has_ended(); });
  day.record().line("value_bytes=%zu %s peak_kib=%ld", value_bytes, day.totals().text().c_str(), day.gateway().peak_kib());
  if (day.gateway().has_ended() || day.totals().served == 0) return kCouldNotRun;
  return day.totals().lost > 0 ? kRuleBroken : kRuleHeld;
}

int run(const std::string& record_path) {
  Record record(record_path);
  for (const std::size_t value_bytes : kValueBytesOfRounds) {
    const int result = play_round(record, value_bytes);
    if (result != kRuleHeld) return result;
  }
  return kRuleHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return review::kCouldNotRun;
  return review::run_case([&] { return review::run(argv[1]); });
}
