// System calls of the gateway that fail in the ways that Linux documents. No failure may end the process,
// lose a request or leave a connection without a further event.
#include <signal.h>

#include "clients.hpp"
#include "faulty_gateway.hpp"

namespace ironquay::net {
namespace {

constexpr unsigned kSeed = 7;

/// Runs good clients while one of five calls of these kinds fails, and ends the gateway by SIGTERM.
ClientTotals run_with_faults(const std::string& kinds) {
  StubBackend backend(10, 30ms);
  FaultyGateway gateway(backend);
  gateway.inject_faults(kinds, kSeed);
  gateway.start();
  GoodClients good(gateway.address(), "g", {});
  std::this_thread::sleep_for(3s);
  gateway.process.reload();
  gateway.process.terminate();
  std::this_thread::sleep_for(300ms);
  good.stop_connecting();
  CHECK(gateway.process.exit_code() == 0);
  ClientTotals totals = good.stop();
  WARN(kinds << ": " << totals);
  CHECK(gateway.process.has_logged("configuration reloaded"));
  CHECK(totals.lost == 0);
  CHECK(backend.received(totals.closed_ids) == 0);
  CHECK(totals.wrong_value == 0);
  return totals;
}

TEST_CASE("no request is lost while system calls fail") {
  const std::string kind = GENERATE("short", "eintr-read", "eintr-write", "eintr-wait", "accept", "connect",
                                    "socket", "epoll-ctl", "memory", "broken");
  const ClientTotals totals = run_with_faults(kind);
  CHECK(totals.served + totals.late >= totals.requests * 9 / 10);
}

TEST_CASE("no request is lost while all kinds of system calls fail") {
  run_with_faults("short,eintr-read,eintr-write,eintr-wait,accept,connect,socket,epoll-ctl,memory,broken");
}

TEST_CASE("large requests in a pipeline are served while reads and writes are short and interrupted") {
  StubBackend backend(10, 5ms);
  FaultyGateway gateway(backend);
  gateway.inject_faults("short,eintr-read,eintr-write", kSeed);
  gateway.start();
  ClientBehavior behavior;
  behavior.clients = 4;
  behavior.patience = 2900ms;
  behavior.pipeline = 4;
  behavior.value_bytes = 60000;
  GoodClients good(gateway.address(), "g", behavior);
  std::this_thread::sleep_for(3s);
  const ClientTotals totals = good.stop();
  WARN(totals);
  CHECK(totals.requests > 40);
  CHECK(totals.served + totals.rejected == totals.requests);
}

}  // namespace
}  // namespace ironquay::net
