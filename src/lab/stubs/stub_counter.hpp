// A stub of the counter service. It speaks the counter's protocol on a loopback socket.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "lab/scenario/scenario.hpp"
#include "lab/stubs/stub_server.hpp"
#include "lab/stubs/timer_set.hpp"
#include "net/resp.hpp"

namespace ironquay::lab {

class StubCounter {
 public:
  // Listens at `address`. Throws std::system_error if that fails. `loop` must outlive the counter.
  StubCounter(net::EventLoop& loop, const net::Address& address);
  // The address that the counter listens at, with the actual port.
  std::string address() const { return server_.address(); }

  // Begins a fault, which ends after its duration. The counter simulates the kinds counter_refuse and
  // counter_silent. A fault of any kind may clear the totals when it ends.
  void inject(const Fault& fault);
  // The number of CNT.ADD commands executed.
  std::uint64_t calls() const { return calls_; }

 private:
  struct Total {
    double value = 0;  // units
    Duration expires_at{0};
  };

  std::size_t on_bytes(StubServer::Connection& connection, std::string_view bytes);
  std::string execute(const net::resp::Command& command);
  double add(const std::string& name, double amount, double lifetime_ms);
  void begin_fault(FaultKind kind);
  void end_fault(FaultKind kind);

  net::EventLoop& loop_;
  std::map<std::string, Total> totals_;
  bool refusing_ = false;  // whether a counter_refuse fault is active
  std::uint64_t calls_ = 0;
  TimerSet timers_;
  StubServer server_;
};

}  // namespace ironquay::lab
