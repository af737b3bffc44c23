// The time for which a request has waited before it is read. Guards against requests that waited to be
// accepted and were forwarded as if they had just been sent (docs/incidents/waiting-to-be-accepted.md).
#include <sys/resource.h>

#include <algorithm>

#include "net/backlog_clock.hpp"
#include "support/frontend_fixture.hpp"

namespace ironquay::net {
namespace {

constexpr int kTimeoutMs = 1500;
constexpr Milliseconds kTimeout{kTimeoutMs};
constexpr Milliseconds kWait{400};
constexpr Milliseconds kSlack{150};  // by which the time told to a worker may be too long

// Connects and sends a request, which the gateway has not accepted yet.
TestConnection send_request(const FrontendFixture& fixture, std::size_t id = 0) {
  TestConnection client = fixture.connect();
  client.send(lookup_with_timeout(std::to_string(id), kTimeoutMs));
  return client;
}

TEST_CASE("requests on connections that waited to be accepted during a pause have less time left") {
  constexpr std::size_t kClients = 300;  // more than are accepted, and more events than are received, at once
  FrontendFixture fixture(400);
  fixture.run_for(1ms);
  std::vector<TestConnection> clients;
  for (std::size_t i = 0; i < kClients; ++i) clients.push_back(send_request(fixture, i));
  std::this_thread::sleep_for(kWait);
  REQUIRE(fixture.run_until_requests(kClients));
  const auto longest = std::max_element(fixture.received_time_left.begin(), fixture.received_time_left.end());
  REQUIRE(*longest <= kTimeout - kWait);
}

TEST_CASE("requests on open connections that waited during a pause have less time left") {
  constexpr std::size_t kClients = 300;
  FrontendFixture fixture(400);
  std::vector<TestConnection> clients;
  for (std::size_t i = 0; i < kClients; ++i) clients.push_back(fixture.connect());
  fixture.run_for(100ms);
  for (std::size_t i = 0; i < kClients; ++i)
    clients[i].send(lookup_with_timeout(std::to_string(i), kTimeoutMs));
  std::this_thread::sleep_for(kWait);
  REQUIRE(fixture.run_until_requests(kClients));
  const auto longest = std::max_element(fixture.received_time_left.begin(), fixture.received_time_left.end());
  REQUIRE(*longest <= kTimeout - kWait);
}

// Two connections are permitted, and both have an open request.
struct FullFrontend {
  FullFrontend() : fixture(2) {
    fixture.request_hook = [this](Exchange& exchange) { exchanges.push_back(&exchange); };
    for (std::size_t i = 1; i <= 2; ++i) clients.push_back(send_request(fixture, i));
    REQUIRE(fixture.run_until_requests(2));
  }
  // Makes room for a connection and returns the time left of the request that comes on it.
  Duration time_left_after_close() {
    clients.front().close();
    REQUIRE(fixture.run_until_requests(3));
    return fixture.received_time_left.back();
  }

  FrontendFixture fixture;
  std::vector<Exchange*> exchanges;
  std::vector<TestConnection> clients;
};

TEST_CASE("a request on a connection that waited while no other was permitted has less time left") {
  FullFrontend full;
  const TestConnection waiting = send_request(full.fixture);
  full.fixture.run_for(kWait);
  REQUIRE(full.time_left_after_close() <= kTimeout - kWait);
}

TEST_CASE("each connection that waits while no other is permitted has waited since it came") {
  FullFrontend full;
  const TestConnection early = send_request(full.fixture, 10);
  full.fixture.run_for(kWait);
  const TestConnection late = send_request(full.fixture, 11);
  full.fixture.run_for(10ms);
  for (TestConnection& client : full.clients) client.close();
  REQUIRE(full.fixture.run_until_requests(4));
  REQUIRE(full.fixture.received_time_left[2] <= kTimeout - kWait);
  REQUIRE(full.fixture.received_time_left[3] > kTimeout - kSlack);
}

TEST_CASE("a connection that leaves the backlog unaccepted does not make later ones seem older") {
  BacklogClock clock(0s);
  clock.on_length(1s, 2);
  REQUIRE(clock.on_accepted() == 0s);
  clock.on_length(2s, 0);  // the second one has gone
  clock.on_no_arrival_until(9s);
  clock.on_length(10s, 1);
  REQUIRE(clock.on_accepted() == 9s);
}

TEST_CASE("a request has its whole time left if no connection waited before while none was permitted") {
  FullFrontend full;
  full.fixture.run_for(2 * kWait);
  const TestConnection waiting = send_request(full.fixture);
  REQUIRE(full.time_left_after_close() > kTimeout - kSlack);
}

TEST_CASE("a request on a connection that waited for a free descriptor has less time left") {
  FrontendFixture fixture;
  fixture.run_for(1ms);
  const TestConnection waiting = send_request(fixture);
  rlimit limit{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  const rlimit none{static_cast<rlim_t>(waiting.fd().get()), limit.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
  fixture.run_for(kWait);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  REQUIRE(fixture.request_count == 0);
  REQUIRE(fixture.run_until_requests(1));
  REQUIRE(fixture.received_time_left.back() <= kTimeout - kWait);
}

TEST_CASE("a request has its whole time left on a connection that was silent since it was accepted") {
  FrontendFixture fixture;
  TestConnection client = fixture.connect();
  fixture.run_for(2 * kWait);
  client.send(lookup_with_timeout("1", kTimeoutMs));
  REQUIRE(fixture.run_until_requests(1));
  REQUIRE(fixture.received_time_left.back() > kTimeout - kSlack);
}

TEST_CASE("a request behind another one in the same read has waited while that one was processed") {
  FrontendFixture fixture;
  fixture.request_hook = [&](Exchange&) {
    if (fixture.request_count == 1) std::this_thread::sleep_for(kWait);
  };
  TestConnection client = fixture.connect();
  fixture.run_for(10ms);
  client.send(lookup_with_timeout("1", kTimeoutMs) + lookup_with_timeout("2", kTimeoutMs));
  REQUIRE(fixture.run_until_requests(2));
  REQUIRE(fixture.received_time_left.back() <= kTimeout - kWait);
}

}  // namespace
}  // namespace ironquay::net
