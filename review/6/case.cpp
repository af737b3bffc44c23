// Clients pipeline lookups with long answers, beside others that write long requests slowly. Does the gateway stay
// within its memory? claim.txt quotes the rule and the limits of the disruption.
#include "pipelines.hpp"

namespace review {
namespace {

constexpr PipelinePlan kPlan{
    .clients = 6, .commands = 300, .chunks = 1, .step = 0ms, .spread = 1000ms, .waves = 1, .pause = 4s};
constexpr int kRounds = 8;  // each with a new gateway; the first one that breaks the rule ends the case

constexpr int kSlowWriters = 60;
constexpr std::size_t kBodyBytes = 65000;
constexpr std::size_t kFirstPartBytes = 64000;
constexpr auto kWritingTime = 1800ms;  // from the first part of a long request to the second one
constexpr auto kPause = 1000ms;        // before the next request

constexpr auto kMemoryCheckInterval = 2ms;

// The platform: it kills the gateway when its resident memory has been over the limit.
class Platform {
 public:
  explicit Platform(PipelineDay& day) : day_(day), thread_([this] { watch(); }) {}
  ~Platform() { stop(); }
  void stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  bool has_killed() const { return has_killed_; }

 private:
  void watch() {
    const pid_t pid = day_.gateway().pid();
    const long limit_kib = day_.settings().memory_mb * 1024L;
    while (!stopping_ && !has_killed_) {
      std::this_thread::sleep_for(kMemoryCheckInterval);
      const long peak = day_.gateway().peak_kib();
      if (peak <= limit_kib) continue;
      has_killed_ = true;
      day_.record().line("CRASH: platform kills the gateway, peak of its resident memory %ld KiB of %ld", peak, limit_kib);
      ::kill(pid, SIGKILL);
    }
  }

  PipelineDay& day_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> has_killed_{false};
  std::thread thread_;
};

// Clients that write one long request after another, each in two parts.
class SlowWriters {
 public:
  explicit SlowWriters(PipelineDay& day) : day_(day) {
    for (int i = 0; i < kSlowWriters; ++i) threads_.emplace_back([this, i] { run("w" + std::to_string(i) + "-"); });
  }
  ~SlowWriters() { stop(); }
  void stop() {
    stopping_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }
  int served() const { return served_; }
  int refused() const { return refused_; }

 private:
  void run(const std::string& prefix) {
    const std::string body(kBodyBytes, 'b');
    for (int i = 0; !stopping_; ++i) {
      const Socket socket = connect_as_over_ethernet(day_.gateway().address());
      const std::string text = request_text("order", prefix + std::to_string(i), kClientTimeoutMs, body);
      const std::string answer = socket.is_open() ? exchange(socket, text) : std::string();
      if (answer.rfind("$", 0) == 0) ++served_;
      if (answer.rfind("-BUSY", 0) == 0) ++refused_;
      wait(kPause);
    }
  }
  // Writes the request in two parts, and returns the first line of the answer; empty if there is none.
  std::string exchange(const Socket& socket, const std::string& text) const {
    if (!socket.send(text.substr(0, kFirstPartBytes))) return {};
    std::string answer;
    const auto second_part_at = Clock::now() + kWritingTime;
    bool open = true;
    while (open && answer.empty() && !stopping_ && Clock::now() < second_part_at) open = socket.receive(answer, kPollInterval);
    if (!answer.empty() || !open || !socket.send(text.substr(kFirstPartBytes))) return answer;
    const auto limit = Clock::now() + Milliseconds(kClientTimeoutMs) + kAnswerSlack;
    while (open && answer.find("\r\n") == std::string::npos && !stopping_ && Clock::now() < limit)
      open = socket.receive(answer, kPollInterval);
    return answer;
  }
  void wait(Milliseconds time) const {
    const auto end = Clock::now() + time;
    while (!stopping_ && Clock::now() < end) std::this_thread::sleep_for(kPollInterval);
  }

  PipelineDay& day_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> served_{0};
  std::atomic<int> refused_{0};
  std::vector<std::thread> threads_;
};

int play_round(Record& record) {
  PipelineDay day(record, kPlan);
  if (!day.gateway().becomes_ready()) return kCouldNotRun;
  Platform platform(day);
  SlowWriters writers(day);
  day.play([&] { return platform.has_killed(); });
  writers.stop();
  platform.stop();
  const long peak_kib = platform.has_killed() ? 0 : day.gateway().peak_kib();
  day.record().line("%s; long requests: served=%d refused=%d; peak_kib=%ld killed=%d", day.totals().text().c_str(),
                    writers.served(), writers.refused(), peak_kib, platform.has_killed());
  if (platform.has_killed()) return kRuleBroken;
  return day.gateway().has_ended() || day.totals().served == 0 ? kCouldNotRun : kRuleHeld;
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
