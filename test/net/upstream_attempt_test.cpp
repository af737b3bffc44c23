// Which replies of workers the gateway accepts, and which requests it retries after a failed attempt.
#include "support/deployment.hpp"

namespace ironquay::net {
namespace {

TEST_CASE("after a refused connection, even a non-idempotent request is retried at another worker") {
  Deployment deployment;
  deployment.worker(0).close();
  TestConnection client = deployment.ready_client();
  // The load balancer prefers a worker without an attempt in flight, so one of the two requests is sent to
  // the closed worker first.
  client.send(pay_request("1") + pay_request("2"));
  for (int i = 0; i < 2; ++i) deployment.next_attempt().connection.answer_command(worker_reply("v"));
  REQUIRE(client.receives(bulk_string("v") + bulk_string("v")));
  REQUIRE(deployment.gateway.logs("reason=connection-refused"));
}

TEST_CASE("after a reset, a lookup is retried at another worker and a non-idempotent request is not") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1"));
  Attempt first = deployment.next_attempt();
  first.connection.receive_command();
  first.connection.reset();
  Attempt retry = deployment.next_attempt();
  REQUIRE(retry.worker != first.worker);
  retry.connection.answer_command(worker_reply("v"));
  REQUIRE(client.receives(bulk_string("v")));
  retry.connection.close();

  client.send(pay_request("2"));
  TestConnection only_attempt = deployment.next_attempt().connection;
  only_attempt.receive_command();
  only_attempt.reset();
  REQUIRE(client.receives(kFailed));
  REQUIRE(deployment.no_attempt_for(50ms));
}

TEST_CASE("a non-idempotent request is retried after a rejection but not after an error") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  client.send(pay_request("1"));
  Attempt first = deployment.next_attempt();
  first.connection.answer_command("-BUSY\r\n");
  Attempt retry = deployment.next_attempt();
  REQUIRE(retry.worker != first.worker);
  retry.connection.answer_command("-ERR failed used=3,cost=4 inflight=7\r\n");
  REQUIRE(client.receives(kFailed));
}

TEST_CASE("a malformed reply closes the worker connection and fails a non-idempotent request") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  client.send(pay_request("1"));
  TestConnection worker = deployment.next_attempt().connection;
  worker.answer_command("HTTP/1.1 200 OK\r\n");
  REQUIRE(client.receives(kFailed));
  REQUIRE(worker.reaches_end());
  REQUIRE(deployment.gateway.logs("reason=malformed-response"));
}

TEST_CASE("a valid value is forwarded even if unexpected bytes follow it, and the connection is not reused") {
  const std::string complete = worker_reply("v");
  // What follows the response: a duplicate of it, and a stray byte.
  for (const std::string& reply : {complete + complete, complete + "x"}) {
    INFO(reply);
    Deployment deployment(1);
    TestConnection client = deployment.ready_client();
    client.send(pay_request("1"));
    TestConnection worker = deployment.next_attempt().connection;
    worker.answer_command(reply);
    REQUIRE(client.receives(bulk_string("v")));
    REQUIRE(worker.reaches_end());
    client.send(pay_request("2"));
    deployment.next_attempt().connection.answer_command(worker_reply("w"));
    REQUIRE(client.receives(bulk_string("w")));
  }
}

// Guards against serving a value whose stated length is wrong: it contains the bytes of the elements that are
// then missing (docs/incidents/wrong-length.md).
TEST_CASE("a value is not forwarded if an element of its response is missing or malformed") {
  const std::string value = "*3\r\n" + bulk_string("v");
  const std::string figures = "$6\r\nused=1\r\n";
  // A length that is too large ends at the line end of a later element, one that is too small at a line end
  // within the value.
  for (const std::string& reply :
       {std::string("*3\r\n$6\r\nv\r\n$-1\r\n$-1\r\n"), std::string("*3\r\n$11\r\nv\r\n$-1\r\n$-1\r\n"),
        "*3\r\n$5\r\nv\r\n" + figures + "$-1\r\n", "*3\r\n$13\r\nv\r\n" + figures + "$-1\r\n",
        "*3\r\n$1\r\nv\r\n$1\r\nw\r\n" + figures + "$-1\r\n",
        std::string("*3\r\n$1\r\nv\r\nw\r\n$-1\r\n$-1\r\n"), std::string("*2\r\n$6\r\nv\r\n$-1\r\n$-1\r\n"),
        value + "!\r\n$-1\r\n", value + "$-1\r\n", value + "$9\r\nused"}) {
    INFO(reply);
    Deployment deployment(1);
    TestConnection client = deployment.ready_client();
    client.send(pay_request("1"));
    TestConnection worker = deployment.next_attempt().connection;
    worker.answer_command(reply);
    REQUIRE(client.receives(kFailed));
    REQUIRE(worker.reaches_end());
    REQUIRE(deployment.no_attempt_for(20ms));
    client.send(pay_request("2"));
    deployment.next_attempt().connection.answer_command(worker_reply("w"));
    REQUIRE(client.receives(bulk_string("w")));
  }
}

TEST_CASE("a response that arrives in pieces is forwarded when its last element is complete") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  client.send(pay_request("1"));
  TestConnection worker = deployment.next_attempt().connection;
  worker.receive_command();
  for (const char* piece : {"*3\r\n$1\r\nv", "\r\n", "$6\r\nused=1\r\n", "$10\r\ninfl"}) {
    worker.send(piece);
    REQUIRE(client.receives_nothing_for(80ms));
  }
  worker.send("ight=7\r\n");
  REQUIRE(client.receives(bulk_string("v")));
  REQUIRE(deployment.no_attempt_for(20ms));
}

TEST_CASE("a duplicate reply is not used for another request, and a lookup with a partial reply is retried") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1"));
  TestConnection worker = deployment.next_attempt().connection;
  worker.answer_command(worker_reply("v"));
  REQUIRE(client.receives(bulk_string("v")));
  client.send(lookup_request("2"));
  worker.send(worker_reply("v"));
  deployment.next_attempt().connection.answer_command("*3\r\n$100\r\nv");
  const auto start = Clock::now();
  deployment.next_attempt().connection.answer_command(worker_reply("w"));
  REQUIRE(client.receives(bulk_string("w")));
  REQUIRE(Clock::now() - start < 700ms);  // well before the attempt's timeout of nearly 1 s
}

TEST_CASE(
    "a value over 64 KB that arrives in slow pieces is forwarded, and one of gigabytes fails its request") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1"));
  TestConnection worker = deployment.next_attempt().connection;
  constexpr std::size_t kPieceBytes = 100'000;
  const std::string value(3 * kPieceBytes, 'x');
  worker.answer_command("*3\r\n$300000\r\n");
  for (std::size_t offset = 0; offset < value.size(); offset += kPieceBytes) {
    std::this_thread::sleep_for(80ms);
    worker.send(value.substr(offset, kPieceBytes));
  }
  worker.send("\r\n$-1\r\n$-1\r\n");
  REQUIRE(client.receives(bulk_string(value)));
  client.send(pay_request("2"));
  deployment.next_attempt().connection.answer_command("*3\r\n$3000000000\r\nxxxx");
  REQUIRE(client.receives(kFailed));
}

TEST_CASE("a request that a worker reports as invalid fails without a retry") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1"));
  deployment.next_attempt().connection.answer_command("-ERR bad request\r\n");
  REQUIRE(client.receives(kFailed));
  REQUIRE(deployment.no_attempt_for(20ms));
}

TEST_CASE("a request at an unresponsive worker is answered before its client times out") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  const auto start = Clock::now();
  client.send(lookup_request("1"));
  TestConnection worker = deployment.next_attempt().connection;
  worker.receive_command();
  REQUIRE_THAT(client.receive_line(), StartsWith("-BUSY"));
  const auto duration = Clock::now() - start;
  REQUIRE(duration > 900ms);
  REQUIRE(duration < 1500ms);
  REQUIRE(worker.reaches_end());
}

}  // namespace
}  // namespace ironquay::net
