// Client connections: request syntax, response order, errors, duplicate ids and slow readers. Most cases run
// the gateway as a process. One case runs only its Frontend, on an event loop in the test.
#include "support/deployment.hpp"
#include "support/frontend_fixture.hpp"

namespace ironquay::net {
namespace {

TEST_CASE("a request received byte by byte is forwarded unchanged except for its timeout") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  const std::string attributes = "c=order,t=team,d=900,k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0,new=7";
  client.send_byte_by_byte(resp_array({"CALL.POST", kCustomer, "9b1f03aa5c7e2d41", attributes, "a\r\nb"}));
  TestConnection worker = deployment.next_attempt().connection;
  const std::string forwarded = worker.receive_command();
  const std::string head = "CALL.POST 00000000b4d65521 9b1f03aa5c7e2d41 c=order,t=team,d=";
  const std::string tail = ",k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0,new=7 a\r\nb";
  REQUIRE_THAT(forwarded, StartsWith(head));
  REQUIRE_THAT(forwarded, EndsWith(tail));
  const int forwarded_timeout = std::stoi(forwarded.substr(head.size()));
  REQUIRE(forwarded_timeout > 500);
  REQUIRE(forwarded_timeout <= 900);
  worker.send_byte_by_byte(resp_array({"ok", "cost=3", "inflight=7"}));
  REQUIRE(client.receives(bulk_string("ok")));
}

TEST_CASE("responses are sent in the order of their requests") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1") + lookup_request("2") + kPing);
  TestConnection first = deployment.next_attempt().connection;
  TestConnection second = deployment.next_attempt().connection;
  // The two attempts may arrive in either order.
  if (first.receive_command().find(" 1 ") == std::string::npos) std::swap(first, second);
  second.send(worker_reply("two"));
  REQUIRE(client.receives_nothing_for(50ms));
  first.send(worker_reply("one"));
  REQUIRE(client.receives(bulk_string("one") + bulk_string("two") + kPong));
}

TEST_CASE("malformed input closes the connection after responses to earlier requests are sent") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  client.send(lookup_request("1") + "CALL.GET inline\r\n" + lookup_request("2"));
  deployment.next_attempt().connection.answer_command(worker_reply("v"));
  REQUIRE(client.receives(bulk_string("v") + kProtocolError));
  REQUIRE(client.reaches_end());
  client.close();
  REQUIRE(deployment.gateway.logs("reason=malformed-request"));
  TestConnection other = deployment.ready_client();
  TestConnection quitting = deployment.ready_client();
  other.send(std::string(kPing) + "*0\r\n");
  REQUIRE(other.receives(std::string(kPong) + kProtocolError));
  REQUIRE(other.reaches_end());
  quitting.send(resp_array({"QUIT"}));
  REQUIRE(quitting.receives("+OK\r\n"));
  REQUIRE(quitting.reaches_end());
  REQUIRE(deployment.no_attempt_for(20ms));
}

TEST_CASE("an invalid request receives an error and the connection stays usable") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  const std::string_view customer = kCustomer;
  const std::string invalid[] = {
      resp_array({"CALL.GET", customer}),
      resp_array({"CALL.GET", "xyz", "1", "c=lookup,t=team,d=9,units=1,spread=1,first=0"}),
      resp_array({"CALL.GET", customer, "1", "c=none,t=team,d=9,units=1,spread=1,first=0"}),
      resp_array({"CALL.GET", customer, "1", "c=lookup,t=none,d=9,units=1,spread=1,first=0"}),
      resp_array({"CALL.GET", customer, "1", "c=lookup,t=team,d=nan,units=1,spread=1,first=0"}),
      resp_array({"CALL.GET", customer, "1", "c=lookup,t=team,d=9,units=-1,spread=1,first=0"}),
      resp_array({"CALL.GET", customer, "1", "c=lookup,t=team,d=9,units=9,spread=1,first=0"}),
      resp_array({"CALL.GET", customer, "1", "c=lookup,t=team,d=9,units=0,spread=1,first=0"}),
      resp_array({"CALL.GET", customer, "1", "c=lookup,t=team,d=9,units=1,spread=1,first=1"}),
      resp_array({"CALL.GET", customer, "", "c=lookup,t=team,d=9,units=1,spread=1,first=0"}),
      resp_array({"CALL.GET", customer, "1 2", "c=lookup,t=team,d=9,units=1,spread=1,first=0"}),
      resp_array({"CALL.GET", customer, "1", "c=lookup,t=team,d=9,units=1,spread=3,first=0"}),
      resp_array({"CALL.GET", customer, "1", "c=lookup,t=team,d=9,units=1,spread=1,first=2"}),
      resp_array({"CALL.GET", customer, "1", "c=pay,t=team,d=9,units=1,spread=1,first=0"}),
      resp_array({"CALL.POST", customer, "1", "c=order,t=team,d=9,units=1,spread=1,first=0", "BODY"}),
      resp_array({"FLUSHALL"}),
  };
  for (const std::string& request : invalid) {
    client.send(request);
    INFO(request);
    REQUIRE_THAT(client.receive_line(), StartsWith("-ERR "));
  }
  client.send(resp_array({"ping"}));
  REQUIRE(client.receives(kPong));
}

TEST_CASE("a request with the id of a request in flight is rejected without affecting that request") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  TestConnection other = deployment.ready_client();
  client.send(pay_request("1"));
  TestConnection worker = deployment.next_attempt().connection;
  other.send(pay_request("1"));
  REQUIRE(other.receives(kDuplicateId));
  worker.answer_command(worker_reply("v"));
  REQUIRE(client.receives(bulk_string("v")));
  std::this_thread::sleep_for(kReuseDelay);
  // The first request is complete, so the gateway forwards the second one. The worker then rejects it.
  other.send(pay_request("1"));
  worker.answer_command("-ERR bad request\r\n");
  REQUIRE(other.receives(kFailed));
}

TEST_CASE("a client that does not read its responses delays no other client and loses no response") {
  Deployment deployment(1);
  TestConnection slow = deployment.ready_client();
  TestConnection other = deployment.ready_client();
  const std::string value(60000, 'x');
  TestConnection worker;
  int unread_responses = 0;
  for (bool forwarded = true; forwarded;) {
    REQUIRE(unread_responses < 1000);  // the gateway must not buffer 60 MB for one client
    slow.send(lookup_request(std::to_string(unread_responses)));
    if (unread_responses == 0) worker = deployment.next_attempt().connection;
    worker.answer_command(worker_reply(value));
    ++unread_responses;
    other.send(kPing);
    REQUIRE(other.receives(kPong));
    slow.send(lookup_request("next"));
    forwarded = readable(worker.fd(), 200ms);
    if (!forwarded) break;
    worker.answer_command(worker_reply(value));
    ++unread_responses;
  }
  for (int i = 0; i < unread_responses; ++i) REQUIRE(slow.receives(bulk_string(value)));
  REQUIRE_THAT(worker.receive_command(), Contains(" next "));
}

TEST_CASE("the time for which a request may have waited unread is deducted from its timeout") {
  // While a connection has this many pending requests, the gateway does not read from it. It resumes reading
  // when fewer than half of them are pending.
  constexpr std::size_t kMaxPipelinedCommands = 1024;
  FrontendFixture fixture;
  std::vector<Exchange*> exchanges;
  fixture.request_hook = [&](Exchange& exchange) { exchanges.push_back(&exchange); };
  TestConnection client = fixture.connect();
  std::string requests;
  for (std::size_t i = 0; i <= kMaxPipelinedCommands; ++i) requests += lookup_request(std::to_string(i));
  client.send(requests);
  REQUIRE(fixture.run_until_requests(kMaxPipelinedCommands));
  fixture.run_for(600ms);
  REQUIRE(fixture.request_count == kMaxPipelinedCommands);
  for (std::size_t i = 0; i < 600; ++i) exchanges[i]->reject(0ms);
  REQUIRE(fixture.run_until_requests(kMaxPipelinedCommands + 1));
  REQUIRE(fixture.received_time_left.front() > 900ms);
  REQUIRE(fixture.received_time_left.back() <= 900ms);
}

TEST_CASE("a request on a connection that was idle has its whole time left") {
  FrontendFixture fixture;
  TestConnection client = fixture.connect();
  client.send(kPing);
  fixture.run_for(1s);
  REQUIRE(client.receives(kPong));
  client.send(lookup_with_timeout("1", 1000));
  REQUIRE(fixture.run_until_requests(1));
  REQUIRE(fixture.received_time_left.back() > 500ms);
}

}  // namespace
}  // namespace ironquay::net
