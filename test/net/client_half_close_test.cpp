// How the gateway closes client connections: it half-closes them and continues to read for a limited time.
// The cases guard against closing a socket while a request is in transit to it: the system then resets the
// connection, and the client may lose responses that it has not read. See also docs/incidents/rare-faults.md.
#include "support/deployment.hpp"

namespace ironquay::net {
namespace {

/// Waits until the gateway half-closes `client`, then immediately sends a request, and checks that the
/// connection is not reset and the request is not forwarded. `last_open` is a time at which the connection
/// was still open. `min_linger_time` is the time for which the gateway must at least read after the
/// half-close. Returns false, without further checks, if the machine was so slow that `min_linger_time` may
/// have passed before the request was sent.
bool late_request_is_not_reset(Deployment& deployment, TestConnection& client, Clock::time_point last_open,
                               Milliseconds min_linger_time) {
  const auto wait_deadline = Clock::now() + kWaitTimeout;
  while (Clock::now() < wait_deadline && !readable(client.fd(), 5ms)) last_open = Clock::now();
  REQUIRE(client.reaches_end());
  client.send(lookup_request("late"));
  const bool was_reset = client.peer_has_reset();
  if (Clock::now() - last_open > min_linger_time) return false;
  REQUIRE_FALSE(was_reset);
  REQUIRE(deployment.no_attempt_for(30ms));
  return true;
}

TEST_CASE("a request that arrives while its connection is being closed does not cause a reset") {
  // The gateway lingers for 1 s, or for 50 ms when it runs out of descriptors. The test requires slightly
  // less.
  constexpr Milliseconds kMinLingerTime = 900ms;
  constexpr Milliseconds kMinShortLingerTime = 45ms;
  SECTION("no command") {
    repeat_until_in_time([&] {
      Deployment deployment(1);
      TestConnection ready = deployment.ready_client();
      TestConnection inactive = deployment.connect();
      return late_request_is_not_reset(deployment, inactive, Clock::now(), kMinLingerTime);
    });
  }
  SECTION("incomplete command") {
    repeat_until_in_time([&] {
      Deployment deployment(1);
      TestConnection ready = deployment.ready_client();
      TestConnection partial = deployment.connect();
      partial.send(kPartialCommand);
      return late_request_is_not_reset(deployment, partial, Clock::now(), kMinLingerTime);
    });
  }
  SECTION("too many idle connections") {
    repeat_until_in_time([&] {
      Deployment deployment(1);
      deployment.limit_descriptors(64);  // 25 for clients; half of them may be idle
      std::vector<TestConnection> idle = deployment.ready_clients(14);
      return late_request_is_not_reset(deployment, idle[0], Clock::now(), kMinLingerTime);
    });
  }
  SECTION("too few descriptors") {
    repeat_until_in_time([&] {
      Deployment deployment(1);
      deployment.limit_descriptors(64);
      std::vector<TestConnection> idle = deployment.ready_clients(25);
      const auto last_open = Clock::now();
      idle.push_back(deployment.ready_client());
      return late_request_is_not_reset(deployment, idle[0], last_open, kMinShortLingerTime);
    });
  }
  SECTION("too many idle connections that have sent requests") {
    repeat_until_in_time([&] {
      Deployment deployment(1);
      deployment.limit_descriptors(64);  // at most ten idle connections that have sent requests
      std::vector<TestConnection> clients;
      auto last_open = Clock::now();
      for (int i = 0; i < 11; ++i) {
        clients.push_back(deployment.ready_client());
        last_open = Clock::now();
        clients.back().send(lookup_with_timeout(std::to_string(i), 0));
        REQUIRE_THAT(clients.back().receive_line(), StartsWith("-BUSY"));
      }
      return late_request_is_not_reset(deployment, clients[0], last_open, kMinLingerTime);
    });
  }
}

TEST_CASE("connections whose clients ignore the half-close free their capacity quickly") {
  repeat_until_in_time([] {
    Deployment deployment(1);
    deployment.limit_descriptors(64);
    const auto start = Clock::now();
    const std::vector<TestConnection> idle = deployment.ready_clients(100);  // none closes its side
    // If each group of eight lingering connections were kept for a full second, this would take over eight
    // seconds.
    return seconds_since(start) < 4;
  });
}

}  // namespace
}  // namespace ironquay::net
