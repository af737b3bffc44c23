// Calls to the counter service: replies, inactivity and reconnects.
#include "support/deployment.hpp"

namespace ironquay::net {
namespace {

TEST_CASE(
    "a request over the quota slice calls the counter, and a late reply is not used for the next call") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  TestConnection counter = deployment.counter.accept();
  client.send(small_plan_lookup("2", 4));
  const std::string counter_call = counter.receive_command();
  REQUIRE_THAT(counter_call, StartsWith("CNT.ADD 00000000b4d65521:"));
  REQUIRE_THAT(counter_call, EndsWith(" 58000"));
  // If the counter does not reply within 80 ms, the quota slice alone decides.
  TestConnection worker = deployment.next_attempt().connection;
  worker.answer_command(worker_reply("v"));
  REQUIRE(client.receives(bulk_string("v")));
  std::this_thread::sleep_for(10ms);
  counter.send(bulk_string("1000000.0"));
  std::this_thread::sleep_for(250ms);
  REQUIRE(counter.answer_command(kPong) == "PING");  // the heartbeat of the idle connection
  client.send(small_plan_lookup("3"));
  REQUIRE_THAT(counter.answer_command(bulk_string("1")), StartsWith("CNT.ADD"));
  REQUIRE_THAT(worker.receive_command(), Contains(" 3 "));
}

TEST_CASE(
    "a request with an unreadable counter reply is forwarded, and the next call uses a new connection") {
  for (const std::string& reply :
       {bulk_string("x"), bulk_string("1x"), bulk_string("nan"), bulk_string(""), std::string("+1\r\n"),
        std::string("$7\r\n1"), std::string("-noise\r\n")}) {
    INFO(reply);
    Deployment deployment(1);
    TestConnection client = deployment.ready_client();
    TestConnection counter = deployment.counter.accept();
    client.send(small_plan_lookup("1"));
    counter.answer_command(reply);
    // The counter may have added the units, so the call does not count as failed.
    TestConnection worker = deployment.next_attempt().connection;
    worker.answer_command(worker_reply("v"));
    REQUIRE(client.receives(bulk_string("v")));
    REQUIRE(counter.reaches_end());
    std::this_thread::sleep_for(kReuseDelay);
    client.send(small_plan_lookup("2"));
    deployment.counter.accept().answer_command(bulk_string("1"));
    worker.answer_command(worker_reply("w"));
    REQUIRE(client.receives(bulk_string("w")));
  }
}

TEST_CASE("an inactive counter connection is closed and the next counter call uses another") {
  Deployment deployment(1);
  TestConnection client = deployment.ready_client();
  TestConnection counter = deployment.counter.accept();
  client.send(small_plan_lookup("1") + small_plan_lookup("2") + small_plan_lookup("3"));
  for (int i = 0; i < 3; ++i) counter.receive_command();
  TestConnection reconnected = deployment.counter.accept();
  REQUIRE(deployment.gateway.logs("reason=inactivity-timeout"));
  // Three calls that time out together count as one failure, so the gateway calls the counter again after
  // only 250 ms.
  std::this_thread::sleep_for(200ms);
  client.send(small_plan_lookup("4"));
  REQUIRE_THAT(reconnected.receive_command(), StartsWith("CNT.ADD "));
}

TEST_CASE("the gateway reconnects to a counter that resets its connections or sends unexpected replies") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  deployment.counter.accept().reset();
  TestConnection second = deployment.counter.accept();
  client.send(small_plan_lookup("1"));
  REQUIRE_THAT(second.receive_command(), StartsWith("CNT.ADD "));
  second.reset();
  // The units may have been added, so the quota slice alone decides.
  TestConnection worker = deployment.next_attempt().connection;
  worker.answer_command(worker_reply("v"));
  REQUIRE(client.receives(bulk_string("v")));
  REQUIRE(deployment.gateway.logs("peer=counter"));
  TestConnection third = deployment.counter.accept();
  third.send("+nobody asked\r\n");
  REQUIRE(third.reaches_end());
  REQUIRE(deployment.gateway.logs("reason=malformed-response"));
}

}  // namespace
}  // namespace ironquay::net
