// A soak of gateways under combinations of faults that are drawn from a seed: failing system calls, clock
// steps, floods, a crowd, workers that hang or break connections, clients that leave, and signals in series.
// Good clients use their open connections until the process is killed, at the earliest time at which the
// platform may do so.
//
// IRONQUAY_SOAK_FIRST_SEED and IRONQUAY_SOAK_SEEDS select the seeds; by default the first six.
#include <signal.h>

#include <cstdlib>
#include <iostream>
#include <iterator>
#include <random>

#include "clients.hpp"
#include "faulty_gateway.hpp"
#include "pause_recorder.hpp"

namespace ironquay::net {
namespace {

constexpr Milliseconds kFaultTime = 4s;  // before SIGTERM
// After SIGTERM, new connections come for this long, and SIGKILL comes no sooner than the longest client
// timeout (3 s) and 0.7 s more.
constexpr Milliseconds kLastConnections = 400ms;
constexpr Milliseconds kEarliestKill = 3700ms;
constexpr Milliseconds kDeadlineSlack = 150ms;
constexpr Milliseconds kLatestAttempt = 100ms;  // after the close of its client

unsigned from_environment(const char* name, unsigned fallback) {
  const char* value = std::getenv(name);
  return value ? static_cast<unsigned>(std::atoi(value)) : fallback;
}

/// The faults of one run, drawn from its seed.
class Plan {
 public:
  explicit Plan(unsigned seed) : seed_(seed), random_(seed) {
    static constexpr const char* kKinds[] = {"short",   "eintr-read", "eintr-write", "eintr-wait", "accept",
                                             "connect", "socket",     "epoll-ctl",   "memory",     "broken"};
    if (chance(2))
      for (const char* kind : kKinds)
        if (chance(2)) system_calls += std::string(kind) + ",";
    one_in = 5 + below(20);
    flooding_clients = chance(2) ? 1 + below(6) : 0;
    flood_of_new_customers = chance(3);
    crowd = chance(3) ? 50 + below(200) : 0;
    clock_steps = chance(2);
    leaving_clients = chance(2) ? 4 : 0;
    pipeline = chance(3) ? 8 : 1;
  }
  std::size_t below(std::size_t bound) { return random_() % bound; }
  bool chance(std::size_t one_in_this) { return below(one_in_this) == 0; }
  Milliseconds step() {
    static constexpr Milliseconds kSteps[] = {-3600s, -2s, 2s, 3600s};
    return kSteps[below(4)];
  }
  unsigned seed() const { return seed_; }

  std::string system_calls;
  std::size_t one_in = 5;
  std::size_t flooding_clients = 0;
  bool flood_of_new_customers = false;
  std::size_t crowd = 0;
  bool clock_steps = false;
  std::size_t leaving_clients = 0;
  int pipeline = 1;

 private:
  unsigned seed_;
  std::mt19937 random_;
};

std::ostream& operator<<(std::ostream& out, const Plan& plan) {
  return out << "seed " << plan.seed() << ": calls '" << plan.system_calls << "' one in " << plan.one_in
             << ", flood " << plan.flooding_clients
             << (plan.flood_of_new_customers ? " new customers" : " PING") << ", crowd " << plan.crowd
             << ", clock steps " << plan.clock_steps << ", leaving " << plan.leaving_clients << ", pipeline "
             << plan.pipeline;
}

std::string flood_input(bool new_customers, unsigned& sequence) {
  std::string piece;
  while (piece.size() < 16384) {
    char customer[17];
    std::snprintf(customer, sizeof customer, "%016x", 0x10000 + ++sequence * 7919u % 0x7fff0000u);
    const std::string id = std::string("f").append(customer);
    piece += new_customers
                 ? resp_array({"CALL.GET", customer, id, "c=lookup,t=team,d=650,units=1,spread=1,first=0"})
                 : kPing;
  }
  return piece;
}

/// Faults of workers, the clock and signals until SIGTERM is due.
void play_faults(Plan& plan, StubBackend& backend, FaultyGateway& gateway) {
  const auto end = Clock::now() + kFaultTime;
  while (Clock::now() < end) {
    std::this_thread::sleep_for(Milliseconds(100 + plan.below(400)));
    if (plan.chance(3)) backend.break_attempts(1 + static_cast<int>(plan.below(4)));
    if (plan.clock_steps && plan.chance(2)) gateway.wall_clock.shift(plan.step());
    if (plan.chance(4)) gateway.process.reload();
    backend.set_hanging(plan.chance(5));
  }
  backend.set_hanging(plan.chance(4));
}

/// Sends a series of signals, and kills the process at the earliest time.
void end_with_signals(Plan& plan, FaultyGateway& gateway, GoodClients& good) {
  const auto kill_at = Clock::now() + kEarliestKill;
  gateway.process.terminate();
  std::this_thread::sleep_for(kLastConnections);
  good.stop_connecting();
  gateway.process.reload();
  std::this_thread::sleep_for(Milliseconds(plan.below(500)));
  if (gateway.process.is_running()) gateway.process.terminate();
  std::this_thread::sleep_until(kill_at);
}

/// Returns the attempts that told their worker a later deadline than the client's.
std::vector<ReceivedAttempt> find_long_deadlines(const std::vector<ReceivedAttempt>& attempts,
                                                 const ClientTotals& totals, Milliseconds patience) {
  std::vector<ReceivedAttempt> found;
  std::copy_if(attempts.begin(), attempts.end(), std::back_inserter(found), [&](const auto& attempt) {
    const auto sent = totals.sent_at.find(attempt.id);
    return sent != totals.sent_at.end() &&
           attempt.at + attempt.told > sent->second + patience + kDeadlineSlack;
  });
  return found;
}

/// Prints whether the test process itself was paused when each of the attempts was received.
void print_long_deadlines(const std::vector<ReceivedAttempt>& attempts, const PauseRecorder& pauses) {
  for (const ReceivedAttempt& attempt : attempts)
    std::cout << "  long deadline: " << attempt.id << ", told " << attempt.told.count() << " ms, received "
              << (pauses.covers(attempt.at) ? "in or right after a pause of the test" : "without a pause")
              << std::endl;
}

std::size_t count_late_attempts(const std::vector<ReceivedAttempt>& attempts,
                                const std::vector<Clock::time_point>& closed_at) {
  const std::size_t digits = LeavingClients::request_prefix(0).size() - 2;
  return static_cast<std::size_t>(std::count_if(attempts.begin(), attempts.end(), [&](const auto& attempt) {
    if (!attempt.id.starts_with("leave")) return false;
    const auto closed = closed_at.at(std::stoul(attempt.id.substr(digits)));
    return closed != Clock::time_point::max() && attempt.at > closed + kLatestAttempt;
  }));
}

void run(unsigned seed) {
  const PauseRecorder pauses;
  Plan plan(seed);
  StubBackend backend(10, Milliseconds(5 + plan.below(50)));
  FaultyGateway gateway(backend);
  if (!plan.system_calls.empty())
    gateway.inject_faults(plan.system_calls, seed, static_cast<unsigned>(plan.one_in));
  gateway.start();
  ClientBehavior behavior;
  behavior.requests_per_connection = 100'000;
  behavior.pipeline = plan.pipeline;
  GoodClients good(gateway.address(), "g", behavior);
  std::vector<TestConnection> crowd;
  for (std::size_t i = 0; i < plan.crowd; ++i) {
    crowd.emplace_back(connect_tcp(gateway.address()));
    crowd.back().try_send(kPartialCommand, 1ms);
  }
  std::vector<unsigned> sequences(plan.flooding_clients);
  std::vector<std::unique_ptr<FloodingClient>> flood;
  for (std::size_t i = 0; i < plan.flooding_clients; ++i) {
    sequences[i] = static_cast<unsigned>(i) << 24;
    flood.push_back(std::make_unique<FloodingClient>(
        gateway.address(), [&, i] { return flood_input(plan.flood_of_new_customers, sequences[i]); }));
  }
  LeavingClients leaving(gateway.address(), plan.leaving_clients);
  play_faults(plan, backend, gateway);
  CHECK(gateway.process.is_running());
  const std::vector<Clock::time_point> closed_at = leaving.stop();
  flood.clear();
  end_with_signals(plan, gateway, good);
  const ClientTotals totals = good.stop();
  gateway.process.send_signal(SIGKILL);
  const int exit_code = gateway.process.exit_code();
  std::cout << plan << "; " << totals << "; exit " << exit_code << "; " << pauses << std::endl;
  CHECK((exit_code == 0 || exit_code == 1000 + SIGKILL));
  CHECK(totals.lost == 0);
  CHECK(totals.wrong_value == 0);
  CHECK(backend.received(totals.closed_ids) == 0);
  const auto long_deadlines = find_long_deadlines(backend.attempts(), totals, behavior.patience);
  print_long_deadlines(long_deadlines, pauses);
  CHECK(long_deadlines.empty());
  CHECK(count_late_attempts(backend.attempts(), closed_at) == 0);
}

TEST_CASE("soak: the rules are kept under combinations of faults") {
  const unsigned first = from_environment("IRONQUAY_SOAK_FIRST_SEED", 1);
  const unsigned seeds = from_environment("IRONQUAY_SOAK_SEEDS", 6);
  for (unsigned seed = first; seed < first + seeds; ++seed) {
    INFO("seed " << seed);
    run(seed);
  }
}

}  // namespace
}  // namespace ironquay::net
