// Limits on the resources that clients may occupy: connections, file descriptors, memory and time.
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "support/deployment.hpp"

namespace ironquay::net {
namespace {

/// Sends `size` bytes or slightly more, but stops when the gateway closes the connection. Returns the number
/// of bytes sent.
std::size_t send_until_closed(const TestConnection& connection, std::size_t size) {
  const std::string piece(65536, 'x');
  std::size_t sent = 0;
  while (sent < size) {
    const ssize_t accepted = send(connection.fd().get(), piece.data(), piece.size(), MSG_NOSIGNAL);
    if (accepted > 0) sent += static_cast<std::size_t>(accepted);
    if (accepted == -1 && errno != EAGAIN) break;
  }
  return sent;
}

TEST_CASE(
    "without free descriptors, idle connections are closed, busy ones stay open, and the gateway does not "
    "busy-wait") {
  Deployment deployment(4);
  deployment.limit_descriptors(64);  // 25 for clients, 15 for workers
  TestConnection first = deployment.ready_client();
  std::vector<TestConnection> clients = deployment.ready_clients(40);
  std::vector<TestConnection> workers;
  REQUIRE(first.reaches_end());
  REQUIRE(deployment.gateway.logs("reason=connection-limit"));
  // Every client connection that is still open sends a request. The gateway forwards 12 and queues the
  // others.
  for (std::size_t i = 15; i < 40; ++i) clients[i].send(lookup_request(std::to_string(i)));
  for (int i = 0; i < 12; ++i) workers.push_back(deployment.next_attempt().connection);
  TestConnection waiting = deployment.connect();
  waiting.send(kPing);
  const double cpu_seconds_before = deployment.gateway.cpu_seconds();
  REQUIRE(waiting.receives_nothing_for(200ms));
  REQUIRE(deployment.gateway.cpu_seconds() - cpu_seconds_before < 0.1);
  for (TestConnection& client : clients) client.close();
  REQUIRE(waiting.receives(kPong));
}

TEST_CASE("idle connections are closed after two seconds unless their input ends with a complete command") {
  Deployment deployment(1);
  TestConnection partial = deployment.ready_client();
  partial.send(kPartialCommand);
  TestConnection idle = deployment.ready_client();
  TestConnection inactive = deployment.connect();
  const auto start = Clock::now();
  REQUIRE(inactive.reaches_end());
  REQUIRE(Clock::now() - start > 1900ms);
  REQUIRE(partial.reaches_end());
  REQUIRE(Clock::now() - start < 3s);
  REQUIRE(deployment.gateway.logs("reason=no-request"));
  REQUIRE(deployment.gateway.logs("reason=request-timeout"));
  idle.send(kPing);
  REQUIRE(idle.receives(kPong));
}

TEST_CASE("while over half of the connection limit is in use, connections idle for two seconds are closed") {
  Deployment deployment(1);
  deployment.limit_descriptors(64);  // 25 for clients
  const std::vector<TestConnection> idle = deployment.ready_clients(14);
  std::this_thread::sleep_for(2600ms);
  const auto is_open = [](const TestConnection& client) { return !readable(client.fd(), 0ms); };
  REQUIRE(std::count_if(idle.begin(), idle.end(), is_open) == 12);
}

TEST_CASE("the number of idle connections that have sent requests is limited") {
  Deployment deployment(1);
  deployment.limit_descriptors(64);  // 25 for clients; at most 10 of them idle after a request
  std::vector<TestConnection> clients;
  for (int i = 0; i < 14; ++i) {
    clients.push_back(deployment.ready_client());
    clients.back().send(lookup_with_timeout(std::to_string(i), 0));
    REQUIRE_THAT(clients.back().receive_line(), StartsWith("-BUSY"));
  }
  for (std::size_t i = 0; i < 4; ++i) REQUIRE(clients[i].reaches_end());
  for (std::size_t i = 4; i < 14; ++i) REQUIRE(clients[i].receives_nothing_for(0ms));
  REQUIRE(deployment.gateway.logs("reason=request-connection-limit"));
}

TEST_CASE("a request of sixty megabytes is rejected with an error while other clients are served") {
  Deployment deployment(1);
  constexpr std::size_t kRequestSize = 60'000'000;
  TestConnection big = deployment.ready_client();
  TestConnection other = deployment.ready_client();
  big.send("*5\r\n$9\r\nCALL.POST\r\n$60000000\r\n");
  REQUIRE(big.receives(kProtocolError));
  REQUIRE(send_until_closed(big, kRequestSize) < 20'000'000);
  other.send(kPing);
  REQUIRE(other.receives(kPong));
}

TEST_CASE("connections with incomplete commands do not prevent other clients from connecting") {
  Deployment deployment(1);
  deployment.limit_descriptors(64);
  std::vector<TestConnection> incomplete;
  for (int i = 0; i < 30; ++i) {
    incomplete.push_back(deployment.ready_client());
    incomplete.back().send(kPartialCommand);
  }
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1"));
  REQUIRE_THAT(deployment.next_attempt().connection.receive_command(), Contains(" 1 "));
}

}  // namespace
}  // namespace ironquay::net
