// The memory of responses on their way to clients. Guards against answers that are copied when they are
// passed on, which brought the gateway over memory_mb (docs/incidents/passed-on-responses.md).
#include "net/write_queue.hpp"
#include "support/allocations.hpp"
#include "support/deployment.hpp"
#include "support/frontend_fixture.hpp"

namespace ironquay::net {
namespace {

constexpr std::size_t kMemoryLimit = std::size_t{8} << 20;
constexpr std::size_t kValueBytes = 65536;

// Pipelined requests of one client whose responses wait until the first request has one.
struct WaitingResponses {
  explicit WaitingResponses(std::size_t count) : fixture(25, 3000, kMemoryLimit) {
    fixture.request_hook = [this](Exchange& exchange) { exchanges.push_back(&exchange); };
    client = fixture.connect();
    std::string requests;
    for (std::size_t i = 0; i < count; ++i) requests += lookup_request(std::to_string(i));
    client.send(requests);
    REQUIRE(fixture.run_until_requests(count));
    for (std::size_t i = 1; i < count; ++i) exchanges[i]->respond_with_value(value);
  }
  const ClientMemory& memory() const { return fixture.frontend.state().memory; }

  const std::string value = bulk_string(std::string(kValueBytes, 'v'));
  FrontendFixture fixture;
  std::vector<Exchange*> exchanges;
  TestConnection client;
};

TEST_CASE("responses that waited for an earlier one are passed on within the memory limit") {
  constexpr std::size_t kResponses = 115;  // 7.2 MiB of the 8 MiB
  const std::size_t before = allocated_memory();
  WaitingResponses waiting(kResponses);
  reset_peak_allocated_memory();
  waiting.exchanges[0]->respond_with_value(waiting.value);
  REQUIRE(peak_allocated_memory() - before <= kMemoryLimit);
  REQUIRE(allocated_memory() - before <= waiting.memory().used_bytes() + kMemoryLimit / 8);
  for (std::size_t i = 0; i < kResponses; ++i) {
    waiting.fixture.run_for(1ms);
    REQUIRE(waiting.client.receives(waiting.value));
  }
}

TEST_CASE("the memory of a request counts until it is released, without a further event of its client") {
  constexpr std::size_t kRequests = 30;  // less than half of the limit
  const std::string body(60000, 'b');
  FrontendFixture fixture(25, 3000, kMemoryLimit);
  std::vector<Exchange*> exchanges;
  fixture.request_hook = [&](Exchange& exchange) { exchanges.push_back(&exchange); };
  TestConnection client = fixture.connect();
  std::size_t received = 0;
  for (std::size_t i = 0; i < kRequests; ++i) {
    const std::string attributes = "c=pay,t=team,d=1500,units=2,spread=1,first=0";
    client.send(resp_array({"CALL.POST", kCustomer, std::to_string(i), attributes, body}));
    REQUIRE(fixture.run_until([&] { return fixture.request_count > received; }));
    received = fixture.request_count;
  }
  const std::size_t held = allocated_memory();
  const std::size_t counted = fixture.frontend.state().memory.used_bytes();
  for (Exchange* exchange : exchanges) exchange->reject(0ms);
  // All requests have ended, but they are not destroyed yet.
  REQUIRE(held - allocated_memory() < kRequests * body.size() / 2);
  REQUIRE(fixture.frontend.state().memory.used_bytes() >= counted / 2);
  fixture.run_for(20ms);
  REQUIRE(held - allocated_memory() >= kRequests * body.size());
  REQUIRE(fixture.frontend.state().memory.used_bytes() == 0);
}

TEST_CASE("a value that may be written next fails its request only if the reserve has no room for it") {
  WaitingResponses waiting(127);  // up to the limit
  TestConnection other = waiting.fixture.connect();
  const std::size_t room = waiting.memory().limit_bytes + waiting.memory().reserve_bytes();
  other.send(lookup_request("other"));
  REQUIRE(waiting.fixture.run_until_requests(128));
  const std::string large = bulk_string(std::string(room - waiting.memory().used_bytes(), 'v'));
  waiting.exchanges[127]->respond_with_value(large);
  waiting.fixture.run_for(5ms);
  REQUIRE(other.receives(kFailed));
}

// The content of the responses is within the limit of 1 MiB, an eighth of `memory_mb`; the buffers, which
// have grown by doubling, are not.
TEST_CASE("incomplete responses of workers count with the memory that is allocated for them") {
  constexpr int kAttempts = 14;
  Deployment deployment(5);
  deployment.config["limits"]["memory_mb"] = 8;
  TestConnection client = deployment.ready_client();
  std::vector<TestConnection> workers;
  for (int i = 0; i < kAttempts; ++i) {
    client.send(lookup_request(std::to_string(i)));
    workers.push_back(deployment.next_attempt().connection);
    workers.back().receive_command();
  }
  for (TestConnection& worker : workers) worker.send("*3\r\n$100000\r\n" + std::string(40000, 'v'));
  std::this_thread::sleep_for(50ms);
  REQUIRE(!deployment.gateway.has_logged("reason=memory-limit"));
  for (TestConnection& worker : workers) worker.send(std::string(30000, 'v'));
  REQUIRE(deployment.gateway.logs("reason=memory-limit"));
}

TEST_CASE("a write queue takes over large buffers, shares segments, and counts what is allocated") {
  WriteQueue queue;
  const std::size_t before = allocated_memory();
  std::string large(100'000, 'a');
  const char* const buffer = large.data();
  queue.append(std::move(large));
  for (int i = 0; i < 3000; ++i) queue.append(std::string_view("+PONG\r\n"));
  std::array<iovec, 4> parts;
  REQUIRE(queue.describe_front(parts) == 3);
  REQUIRE(parts[0].iov_base == buffer);
  REQUIRE(queue.bytes() == 121'000);
  const std::size_t allocated = allocated_memory() - before;
  REQUIRE(queue.allocated_bytes() <= allocated + allocated / 16);
  REQUIRE(queue.allocated_bytes() >= allocated - allocated / 16);
  queue.remove_front(100'001);
  REQUIRE(queue.describe_front(parts) == 2);
  REQUIRE(std::string_view(static_cast<char*>(parts[0].iov_base), 6) == "PONG\r\n");
  REQUIRE(queue.allocated_bytes() < 50'000);
  queue.remove_front(queue.bytes());
  REQUIRE(queue.empty());
  REQUIRE(queue.allocated_bytes() == 0);
  REQUIRE(allocated_memory() == before);
}

}  // namespace
}  // namespace ironquay::net
