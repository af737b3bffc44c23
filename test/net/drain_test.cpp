// Graceful shutdown: on SIGTERM, the gateway drains. The cases guard against lost requests, reset connections
// and drains that do not end. Where a fault depends on the order of events, the test sends the events while
// the gateway process is paused (SIGSTOP). See also docs/incidents/rare-faults.md.
#include "support/deployment.hpp"

namespace ironquay::net {
namespace {

/// What the load clients observed.
struct LoadResult {
  std::size_t responses = 0;
  std::size_t closed_connections = 0;  // connections that the gateway closed
  std::size_t lost_requests = 0;       // requests whose connection was closed without a response
};

/// A client that sends its next request when it has received the response to the previous one.
struct LoadClient {
  TestConnection connection;
  bool request_in_flight = false;

  /// Sends a request whose id is one more than `last_id`, and stores that id in `last_id`.
  void send_request(int& last_id) {
    connection.send(lookup_request(std::to_string(++last_id)));
    request_in_flight = true;
  }
  /// Reads a response or the end of stream. After a response, sends the next request unless the gateway
  /// closes the connection.
  void read_response(LoadResult& result, int& last_id) {
    if (connection.receive_until("\r\nv\r\n").empty()) {
      REQUIRE_FALSE(connection.was_reset());
      result.lost_requests += request_in_flight;
      ++result.closed_connections;
      connection.close();
      return;
    }
    ++result.responses;
    request_in_flight = false;
    // If the gateway closes the connection, it does so immediately after the response.
    if (!readable(connection.fd(), 20ms)) send_request(last_id);
  }
};

bool has_input(const TestConnection& connection) { return connection.fd() && readable(connection.fd(), 0ms); }

/// Waits up to 20 ms for a new connection at the server, or for input on any of the connections.
void wait_for_any(const TestServer& server, const std::vector<TestConnection>& workers,
                  const std::vector<LoadClient>& clients) {
  std::vector<const FileDescriptor*> fds = {&server.fd()};
  for (const TestConnection& worker : workers) fds.push_back(&worker.fd());
  for (const LoadClient& client : clients) fds.push_back(&client.connection.fd());
  readable_any(fds, 20ms);
}

TEST_CASE("a drain accepts new requests, completes those in flight and resets no connection") {
  Deployment deployment;
  TestConnection busy = deployment.ready_client();
  TestConnection idle = deployment.ready_client();
  busy.send(lookup_request("1"));
  TestConnection worker = deployment.next_attempt().connection;
  worker.receive_command();
  deployment.gateway.terminate();
  REQUIRE(deployment.gateway.logs("draining"));
  TestConnection late = deployment.ready_client();
  REQUIRE(late.reaches_end());  // ready_client() has already received the response to its PING
  REQUIRE_FALSE(late.was_reset());
  REQUIRE(idle.reaches_end());
  REQUIRE_FALSE(idle.was_reset());
  worker.send(worker_reply("v"));
  REQUIRE(busy.receives(bulk_string("v")));
  REQUIRE(busy.reaches_end());
  REQUIRE_FALSE(busy.was_reset());
  busy.close();
  idle.close();
  late.close();
  REQUIRE(deployment.gateway.exit_code() == 0);
  REQUIRE_THAT(deployment.gateway.log(), Contains("stopped name=n0"));
}

TEST_CASE("a drain under load closes no connection that has a request without a response") {
  Deployment deployment(1);
  std::vector<LoadClient> clients;
  std::vector<TestConnection> workers;
  int last_id = 0;
  for (int i = 0; i < 3; ++i) clients.push_back({deployment.ready_client()});
  for (LoadClient& client : clients) client.send_request(last_id);
  LoadResult result;
  const auto start = Clock::now();
  bool draining = false;
  while (result.closed_connections < clients.size() && Clock::now() - start < 3s) {
    if (!draining && Clock::now() - start > 200ms) {
      deployment.gateway.terminate();
      draining = true;
    }
    wait_for_any(deployment.worker(0), workers, clients);
    for (TestConnection& worker : workers)
      if (has_input(worker)) worker.answer_command(worker_reply("v"));
    for (LoadClient& client : clients)
      if (has_input(client.connection)) client.read_response(result, last_id);
    if (deployment.worker(0).has_connection_within(0ms)) workers.push_back(deployment.worker(0).accept());
  }
  REQUIRE(result.closed_connections == clients.size());
  REQUIRE(result.lost_requests == 0);
  REQUIRE(result.responses > 6);
  clients.clear();
  REQUIRE(deployment.gateway.exit_code() == 0);
}

TEST_CASE("a drain waits until clients close and does not reset those that still send") {
  Deployment deployment(1);
  TestConnection late = deployment.ready_client();
  deployment.gateway.terminate();
  REQUIRE(late.reaches_end());  // the client's side stays open
  for (int i = 0; i < 15; ++i) {
    late.send(lookup_request(std::to_string(i)));
    std::this_thread::sleep_for(100ms);
    REQUIRE(deployment.gateway.is_running());
  }
  REQUIRE_FALSE(late.was_reset());
  late.close();
  REQUIRE(deployment.gateway.exit_code() == 0);
}

TEST_CASE("a drain continues when reading a request evicts another idle connection") {
  Deployment deployment(1);
  // The gateway allows 625 client connections, and 250 of them idle after a request.
  deployment.config["settings"]["bounds"]["open_cap"] = 10000;
  TestConnection first = deployment.ready_client();
  std::vector<TestConnection> requesters;
  for (int i = 0; i < 250; ++i) {
    requesters.push_back(deployment.connect());
    requesters.back().send(lookup_with_timeout(std::to_string(i), 0));
    REQUIRE_THAT(requesters.back().receive_line(), StartsWith("-BUSY"));
  }
  std::vector<TestConnection> others = deployment.ready_clients(257);
  deployment.gateway.terminate();
  REQUIRE(deployment.gateway.logs("draining name"));
  deployment.gateway.pause();
  // There are more events than one iteration of the loop handles. The drain therefore reads the first
  // client's request before the loop handles the event of that client.
  for (TestConnection& client : others) client.send(kPing);
  first.send(lookup_with_timeout("1", 0));
  std::this_thread::sleep_for(500ms);
  deployment.gateway.resume();
  REQUIRE_THAT(first.receive_line(), StartsWith("-BUSY"));
  first.close();
  requesters.clear();
  others.clear();
  REQUIRE(deployment.gateway.exit_code() == 0);
}

TEST_CASE("a second SIGTERM and a SIGHUP do not interrupt a drain") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1"));
  TestConnection worker = deployment.next_attempt().connection;
  worker.receive_command();
  deployment.gateway.terminate();
  REQUIRE(deployment.gateway.logs("draining name"));
  deployment.gateway.terminate();
  deployment.gateway.reload();
  REQUIRE(deployment.gateway.logs("configuration reloaded discovery"));
  worker.send(worker_reply("v"));
  REQUIRE(client.receives(bulk_string("v")));
  client.close();
  REQUIRE(deployment.gateway.exit_code() == 0);
  REQUIRE(deployment.gateway.times_logged("draining name") == 1);
}

}  // namespace
}  // namespace ironquay::net
