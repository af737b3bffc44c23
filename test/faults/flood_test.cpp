// Clients that send small or unsound requests at full speed. Guards against good clients that get their
// answers late or never, and against memory that grows with the input (docs/incidents/flooding-clients.md).
#include <atomic>

#include "clients.hpp"
#include "faulty_gateway.hpp"

namespace ironquay::net {
namespace {

constexpr std::size_t kFloodingClients = 6;
constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;
constexpr auto kFloodDuration = 5s;
constexpr long kMemoryLimitKb = 32 * 1024;

/// Returns `next()` repeated up to kPieceBytes.
template <typename Next>
std::function<std::string()> pieces_of(Next next) {
  return [next] {
    std::string piece;
    while (piece.size() < kPieceBytes) piece += next();
    return piece;
  };
}

/// A sound request of a customer that has sent none before.
std::string request_of_new_customer() {
  static std::atomic<unsigned long> sequence = 0;
  const unsigned long number = ++sequence;
  char customer[17];
  std::snprintf(customer, sizeof customer, "%016lx", 0x10000 + number * 2654435761u % 0x1f0000000u);
  const std::string id = std::string("f").append(std::to_string(number));
  return resp_array({"CALL.GET", customer, id, "c=lookup,t=team,d=650,units=1,spread=2,first=0"});
}

/// Floods a gateway while good clients use it. Checks that no good client loses a request.
void flood(const std::function<std::string()>& next_input, bool new_connections = false) {
  StubBackend backend(10, 30ms);
  FaultyGateway gateway(backend);
  gateway.start();
  GoodClients good(gateway.address(), "g", {});
  std::vector<std::unique_ptr<FloodingClient>> flooding;
  for (std::size_t i = 0; i < kFloodingClients; ++i)
    flooding.push_back(std::make_unique<FloodingClient>(gateway.address(), next_input, new_connections));
  std::this_thread::sleep_for(kFloodDuration);
  const ClientTotals totals = good.stop();
  flooding.clear();
  const long peak_memory_kb = gateway.process.peak_memory_kb();
  gateway.process.terminate();
  CHECK(gateway.process.exit_code() == 0);
  WARN(totals << "; peak memory " << peak_memory_kb << " kB; " << gateway.status_line());
  CHECK(totals.lost == 0);
  CHECK(backend.received(totals.closed_ids) == 0);
  CHECK(totals.wrong_value == 0);
#ifndef __SANITIZE_ADDRESS__  // the sanitizer's own memory is not limited
  CHECK(peak_memory_kb <= kMemoryLimitKb);
#endif
}

TEST_CASE("good clients lose no request while others send commands that are answered at once") {
  SECTION("PING") {
    flood(pieces_of([] { return std::string(kPing); }));
  }
  SECTION("unknown commands") {
    flood(pieces_of([] { return resp_array({"NONSENSE", "x"}); }));
  }
  SECTION("unknown classes") {
    flood(pieces_of([] { return resp_array({"CALL.GET", kCustomer, "1", "c=none,t=team,d=650,units=1"}); }));
  }
  SECTION("no id") {
    flood(pieces_of([] { return resp_array({"CALL.GET", kCustomer, "", "c=lookup,t=team,d=650,units=1"}); }));
  }
}

TEST_CASE("requests of ever new customers cost no good client a request and no unbounded memory") {
  flood(pieces_of(request_of_new_customer));
}

TEST_CASE("good clients lose no request while others open a connection for each malformed line") {
  flood([] { return std::string("no command\r\n"); }, true);
}

TEST_CASE("no attempt begins over 0.1 s after its client has closed, also during a flood") {
  StubBackend backend(10, 30ms);
  FaultyGateway gateway(backend);
  gateway.start();
  std::vector<std::unique_ptr<FloodingClient>> flooding;
  for (std::size_t i = 0; i < kFloodingClients; ++i)
    flooding.push_back(
        std::make_unique<FloodingClient>(gateway.address(), pieces_of([] { return std::string(kPing); })));
  LeavingClients leaving(gateway.address(), 10);
  std::this_thread::sleep_for(kFloodDuration);
  const std::vector<Clock::time_point> closed_at = leaving.stop();
  flooding.clear();
  std::size_t attempts = 0;
  std::size_t late_attempts = 0;
  for (const ReceivedAttempt& attempt : backend.attempts()) {
    const std::size_t connection =
        std::stoul(attempt.id.substr(LeavingClients::request_prefix(0).size() - 2));
    ++attempts;
    if (attempt.at > closed_at.at(connection) + 100ms) ++late_attempts;
  }
  WARN(attempts << " attempts of " << closed_at.size() << " connections");
  CHECK(attempts > closed_at.size());
  CHECK(late_attempts == 0);
}

TEST_CASE("hundreds of clients with slow, unfinished or many-field commands stay within the memory limit") {
  constexpr std::size_t kCrowd = 300;
  const std::string request = resp_array(
      {"CALL.POST", kCustomer, "1", "c=pay,t=team,d=650,units=1,spread=1,first=0", std::string(65536, 'x')});
  std::string fields = "c=lookup";
  while (fields.size() < 60000) fields += ",a=1";
  const std::string many_fields = resp_array({"CALL.GET", kCustomer, "1", fields});
  const std::string many_words =
      "*16\r\n" + std::string("$1\r\na\r\n") + "$60000\r\n" + std::string(59000, 'y');
  StubBackend backend(10, 30ms);
  FaultyGateway gateway(backend);
  gateway.start();
  GoodClients good(gateway.address(), "g", {});
  std::vector<TestConnection> crowd;
  for (std::size_t i = 0; i < kCrowd; ++i) crowd.emplace_back(connect_tcp(gateway.address()));
  const auto start = Clock::now();
  for (std::size_t step = 0; seconds_since(start) < 5; ++step) {
    for (std::size_t i = 0; i < kCrowd; ++i) {
      const std::string& input = i % 3 == 0 ? request : i % 3 == 1 ? many_fields : many_words;
      const std::size_t piece = input.size() / 40;
      if (step < 39) crowd[i].try_send(std::string_view(input).substr(step * piece, piece), 1ms);
    }
    std::this_thread::sleep_for(20ms);
  }
  const ClientTotals totals = good.stop();
  WARN(totals << "; peak memory " << gateway.process.peak_memory_kb() << " kB");
  CHECK(totals.lost == 0);
#ifndef __SANITIZE_ADDRESS__  // the sanitizer's own memory is not limited
  CHECK(gateway.process.peak_memory_kb() <= kMemoryLimitKb);
#endif
}

}  // namespace
}  // namespace ironquay::net
