// Three clients pipeline lookups with long answers behind an order. Do they get their answers?
// claim.txt quotes the rule and the limits of the disruption.
#include "pipelines.hpp"

namespace review {
namespace {

constexpr PipelinePlan kPlan{
    .clients = 3, .commands = 20, .chunks = 10, .step = 100ms, .spread = 100ms, .waves = 2, .pause = 4s};
constexpr int kRounds = 8;  // each with a new gateway; the first one that breaks the rule ends the case

int play_round(Record& record) {
  PipelineDay day(record, kPlan);
  if (!day.gateway().becomes_ready()) return kCouldNotRun;
  day.play([&] { return day.gateway().has_ended(); });
  day.record().line("%s peak_kib=%ld", day.totals().text().c_str(), day.gateway().peak_kib());
  if (day.gateway().has_ended() || day.totals().served == 0) return kCouldNotRun;
  return day.totals().lost > 0 ? kRuleBroken : kRuleHeld;
}

int run(const std::string& record_path) {
  Record record(record_path);
  int result = kRuleHeld;
  for (int round = 0; round < kRounds && result == kRuleHeld; ++round) result = play_round(record);
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return review::kCouldNotRun;
  return review::run_case([&] { return review::run(argv[1]); });
}
