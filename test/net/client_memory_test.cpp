// The memory that clients may occupy with input, pipelined commands and unread responses. Guards against
// clients that bring the gateway over the memory limit of its configuration
// (docs/incidents/client-memory.md).
#include <algorithm>

#include "net/client_request.hpp"
#include "support/deployment.hpp"
#include "support/frontend_fixture.hpp"

namespace ironquay::net {
namespace {

constexpr std::size_t kMemoryLimit = std::size_t{1} << 20;
constexpr std::size_t kPartBytes = 60000;  // the received part of a large command

std::string large_request() {
  const char* attributes = "c=pay,t=team,d=1500,units=2,spread=1,first=0";
  return resp_array({"CALL.POST", kCustomer, "1", attributes, std::string(65536, 'x')});
}

TEST_CASE("incomplete commands over half of the memory limit are rejected, the longest waiting first") {
  FrontendFixture fixture(25, 3000, kMemoryLimit);
  std::vector<TestConnection> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(fixture.connect());
    clients.back().send(kPing + large_request().substr(0, kPartBytes));
    REQUIRE(fixture.run_until([&] { return readable(clients.back().fd(), 0ms); }));
    REQUIRE(clients.back().receives(kPong));
  }
  std::size_t rejected = 0;
  while (rejected < clients.size() && readable(clients[rejected].fd(), 0ms)) {
    REQUIRE(clients[rejected].receives("-BUSY\r\n"));
    REQUIRE(clients[rejected++].reaches_end());
  }
  REQUIRE((clients.size() - rejected) * kPartBytes <= kMemoryLimit / 2);
  clients.back().send(large_request().substr(kPartBytes));
  REQUIRE(fixture.run_until_requests(1));
}

TEST_CASE("pipelined commands over half of the memory limit wait, and all of them are answered") {
  constexpr std::size_t kClients = 10;
  constexpr std::size_t kCommands = 900;
  FrontendFixture fixture(25, 3000, kMemoryLimit);
  std::vector<Exchange*> exchanges;
  fixture.request_hook = [&](Exchange& exchange) { exchanges.push_back(&exchange); };
  std::vector<TestConnection> clients;
  for (std::size_t client = 0; client < kClients; ++client) {
    std::string requests;
    for (std::size_t i = 0; i < kCommands; ++i)
      requests += lookup_request(std::to_string(client * kCommands + i));
    clients.push_back(fixture.connect());
    clients.back().send(requests);
  }
  REQUIRE(fixture.run_until_requests(kClients));
  fixture.run_for(300ms);
  REQUIRE((fixture.request_count - kClients) * sizeof(ClientRequest) <= kMemoryLimit / 2);
  // A client without a pending command is served all the same.
  TestConnection other = fixture.connect();
  other.send(lookup_request("other"));
  const auto is_other = [](const Exchange* exchange) {
    return exchange->request.client_request_id == "other";
  };
  REQUIRE(fixture.run_until([&] { return std::any_of(exchanges.begin(), exchanges.end(), is_other); }));
  for (std::size_t i = 0; i <= kClients * kCommands; ++i) {
    REQUIRE(fixture.run_until_requests(i + 1));
    exchanges[i]->reject(0ms);
  }
  fixture.run_for(50ms);
  for (TestConnection& client : clients)
    for (std::size_t i = 0; i < kCommands; ++i) REQUIRE(client.receives("-BUSY\r\n"));
}

TEST_CASE("a value that must wait for earlier responses fails its request if there is no memory for it") {
  constexpr std::size_t kSmallLimit = std::size_t{128} * 1024;
  FrontendFixture fixture(25, 3000, kSmallLimit);
  std::vector<Exchange*> exchanges;
  fixture.request_hook = [&](Exchange& exchange) { exchanges.push_back(&exchange); };
  TestConnection client = fixture.connect();
  client.send(lookup_request("1") + lookup_request("2") + lookup_request("3"));
  REQUIRE(fixture.run_until_requests(3));
  const std::string value = bulk_string(std::string(kSmallLimit * 3 / 4, 'v'));
  exchanges[1]->respond_with_value(value);
  exchanges[2]->respond_with_value(value);
  exchanges[0]->reject(0ms);
  fixture.run_for(50ms);
  REQUIRE(client.receives("-BUSY\r\n" + value + kFailed));
}

TEST_CASE("a crowd of clients with pipelined, short and incomplete commands stays within the memory limit") {
  constexpr int kMemoryMegabytes = 32;
  Deployment deployment(1);
  deployment.config["limits"]["memory_mb"] = kMemoryMegabytes;
  deployment.limit_descriptors(512);
  std::string commands;
  for (int i = 0; i < 900; ++i) commands += resp_array({"CALL.GET", kCustomer, "1", "c=none"});
  std::vector<TestConnection> crowd;
  for (int i = 0; i < 300; ++i) {
    crowd.push_back(deployment.ready_client());
    crowd.back().send(pay_request(std::to_string(i)) + commands + large_request().substr(0, kPartBytes));
  }
  constexpr int kShortCommands = 70000;
  TestConnection fast = deployment.ready_client();
  std::string pings;
  std::string pongs;
  for (int i = 0; i < kShortCommands; ++i) pings += kPing;
  for (int i = 0; i < kShortCommands; ++i) pongs += kPong;
  fast.send(pings);
  REQUIRE(fast.receives(pongs));
  TestConnection client = deployment.ready_client();
  client.send(kPing);
  REQUIRE(client.receives(kPong));
#ifndef __SANITIZE_ADDRESS__  // the sanitizer's own memory is not limited
  REQUIRE(deployment.gateway.peak_memory_kb() <= kMemoryMegabytes * 1024);
#endif
}

}  // namespace
}  // namespace ironquay::net
