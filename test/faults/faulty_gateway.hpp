// A gateway process between a StubBackend and clients, with faults of its system calls and its clock on
// request.
#pragma once
#include <cstdint>
#include <string>

#include "../net/support/gateway_process.hpp"
#include "../net/support/settings.hpp"
#include "stub_backend.hpp"

namespace ironquay::net {

/// Loads the shim into a gateway process and controls the wall clock that the process sees.
class WallClock {
 public:
  /// Must be constructed before the process is started.
  explicit WallClock(GatewayProcess& process);
  ~WallClock();
  WallClock(const WallClock&) = delete;
  WallClock& operator=(const WallClock&) = delete;
  /// Sets the wall clock forward or back. May be called at any time.
  void shift(Milliseconds shift) { *shift_ms_ = shift.count(); }

 private:
  std::string file_;
  volatile std::int64_t* shift_ms_ = nullptr;
};

class FaultyGateway {
 public:
  explicit FaultyGateway(const StubBackend& backend);

  /// Makes system calls of the gateway fail; `kinds` are those of fault_shim.cpp, separated by commas. Must
  /// be called before start().
  void inject_faults(const std::string& kinds, unsigned seed, unsigned one_in = 5);
  /// Writes `config`, starts the process and waits until it answers a PING.
  void start();
  /// Sends SIGTERM, and SIGKILL after `patience` if the process is still running.
  void end(Milliseconds patience);
  /// The last status line that the process has logged.
  std::string status_line() const;
  const Address& address() const { return address_; }
  Json config;
  GatewayProcess process;
  WallClock wall_clock{process};

 private:
  const StubBackend& backend_;
  Address address_{};
  FileDescriptor gossip_reservation_;
};

}  // namespace ironquay::net
