// Clients that do not read their responses at once, or never. Guards against responses that are dropped
// because the system does not take at one call all that is passed on (docs/incidents/clients-that-read.md).
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "support/frontend_fixture.hpp"

namespace ironquay::net {
namespace {

constexpr std::size_t kMemoryLimit = std::size_t{8} << 20;
constexpr int kClientTimeoutMs = 600;
constexpr Milliseconds kCheckInterval = 250ms;  // how often the gateway looks for slow readers

// A client whose requests the test answers with long values.
struct PipeliningClient {
  PipeliningClient() : fixture(25, kClientTimeoutMs, kMemoryLimit) {
    fixture.request_hook = [this](Exchange& exchange) { exchanges.push_back(&exchange); };
    client = fixture.connect();
  }
  void send_requests(std::size_t count) {
    std::string requests;
    for (std::size_t i = 0; i < count; ++i) requests += lookup_request(std::to_string(sent++));
    client.send(requests);
    REQUIRE(fixture.run_until_requests(sent));
  }
  void respond(std::size_t request) { exchanges[request]->respond_with_value(value); }
  // Answers single requests until the system takes no more responses.
  void fill_system_buffers() {
    while (memory().unwritten_bytes == 0) {
      send_requests(1);
      respond(sent - 1);
    }
  }
  // Reads as fast as the responses come. Returns whether each request has got its value or has failed.
  bool reads_all_responses() {
    std::string unread;
    std::size_t received = 0;
    const auto take = [&](std::string_view response) {
      if (!unread.starts_with(response)) return false;
      unread.erase(0, response.size());
      return ++received > 0;
    };
    return fixture.run_until([&] {
      char piece[65536];
      for (ssize_t size = 0; (size = recv(client.fd().get(), piece, sizeof piece, MSG_DONTWAIT)) > 0;)
        unread.append(piece, static_cast<std::size_t>(size));
      while (take(value) || take(kFailed)) continue;
      return received == sent;
    });
  }
  const ClientMemory& memory() const { return fixture.frontend.state().memory; }
  bool is_closing() const {
    const ConnectionTable::List& active = fixture.frontend.state().connections.active();
    return active.empty();
  }

  const std::string value = bulk_string(std::string(65536, 'v'));
  FrontendFixture fixture;
  std::vector<Exchange*> exchanges;
  TestConnection client;
  std::size_t sent = 0;
};

TEST_CASE("a client that reads gets all responses that are passed on at once while memory is exceeded") {
  PipeliningClient pipelining;
  pipelining.fill_system_buffers();
  const std::size_t first = pipelining.sent;
  pipelining.send_requests(130);
  for (std::size_t i = first + 1; i < pipelining.sent; ++i) pipelining.respond(i);
  REQUIRE(!pipelining.memory().has_room_for_response(pipelining.value.size()));
  pipelining.respond(first);
  REQUIRE(pipelining.memory().is_exceeded());
  REQUIRE(pipelining.reads_all_responses());
}

TEST_CASE("a client that reads slowly keeps its connection, and one that stops is ended after its timeout") {
  PipeliningClient pipelining;
  pipelining.fill_system_buffers();
  pipelining.send_requests(120);
  for (std::size_t i = 0; i < 120; ++i) pipelining.respond(pipelining.sent - 120 + i);
  REQUIRE(pipelining.memory().is_scarce());
  std::vector<char> piece(std::size_t{512} * 1024);
  for (int i = 0; i < 5; ++i) {
    pipelining.fixture.run_for(Milliseconds(kClientTimeoutMs) / 4);
    REQUIRE(recv(pipelining.client.fd().get(), piece.data(), piece.size(), MSG_DONTWAIT) > 0);
  }
  REQUIRE(!pipelining.is_closing());
  pipelining.fixture.run_for(Milliseconds(kClientTimeoutMs) - 2 * kCheckInterval);
  REQUIRE(!pipelining.is_closing());
  pipelining.fixture.run_for(Milliseconds(kClientTimeoutMs) + 2 * kCheckInterval);
  REQUIRE(pipelining.is_closing());
  REQUIRE(pipelining.memory().used_bytes() == 0);
}

TEST_CASE("a client that leaves and reads nothing is ended as well, also after QUIT and while draining") {
  PipeliningClient pipelining;
  pipelining.fill_system_buffers();
  pipelining.send_requests(100);
  for (std::size_t i = 0; i < 100; ++i) pipelining.respond(pipelining.sent - 100 + i);
  if (GENERATE(false, true)) {
    pipelining.client.send(resp_array({"QUIT"}));
  } else {
    pipelining.fixture.frontend.drain([] {});
  }
  pipelining.fixture.run_for(Milliseconds(kClientTimeoutMs) / 2);
  REQUIRE(!pipelining.is_closing());
  pipelining.fixture.run_for(Milliseconds(kClientTimeoutMs) + 2 * kCheckInterval);
  REQUIRE(pipelining.is_closing());
  REQUIRE(pipelining.memory().used_bytes() == 0);
}

// The system buffers little for this connection, as over an Ethernet.
TestConnection connect_with_small_buffers(const FrontendFixture& fixture) {
  constexpr int kSegmentBytes = 1448;
  constexpr int kReceiveBufferBytes = 4096;
  FileDescriptor fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  setsockopt(fd.get(), IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof kSegmentBytes);
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
  const Address address = fixture.address();
  REQUIRE(connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return TestConnection(std::move(fd));
}

TEST_CASE("clients that read nothing stay within the memory limit with small responses, too") {
  constexpr std::size_t kSmallLimit = std::size_t{256} * 1024;
  constexpr std::size_t kClients = 6;
  FrontendFixture fixture(25, 3000, kSmallLimit);
  std::vector<TestConnection> clients;
  for (std::size_t i = 0; i < kClients; ++i) clients.push_back(connect_with_small_buffers(fixture));
  // The response is twice as long as the command.
  const std::string command = resp_array({"x"});
  std::string commands;
  for (int i = 0; i < 5000; ++i) commands += command;
  std::array<std::size_t, kClients> sent{};
  std::size_t largest = 0;
  const auto send_commands = [&] {
    for (std::size_t i = 0; i < kClients; ++i) {
      // Continues in the middle of a command if the system took only a part of it.
      const std::string_view bytes = std::string_view(commands).substr(sent[i] % command.size());
      const ssize_t size =
          ::send(clients[i].fd().get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (size > 0) sent[i] += static_cast<std::size_t>(size);
    }
    largest = std::max(largest, fixture.frontend.state().memory.used_bytes());
    return largest > kSmallLimit / 2;
  };
  REQUIRE(fixture.run_until(send_commands));
  for (int round = 0; round < 200; ++round) {
    send_commands();
    fixture.run_for(2ms);
  }
  REQUIRE(largest <= kSmallLimit);
}

}  // namespace
}  // namespace ironquay::net
