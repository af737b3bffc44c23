// A gateway process between a StubBackend and clients, with faults of its system calls and its clock on
// request.
#pragma once
#include <cstdint>
#include <string>

#include "../net/support/gateway_process.hpp"
#include "../net/support/settings.hpp"
#include "stub_backend.hpp"

namespace ironquay::net {

class FaultyGateway {
 public:
  explicit FaultyGateway(const StubBackend& backend);
  ~FaultyGateway();
  FaultyGateway(const FaultyGateway&) = delete;
  FaultyGateway& operator=(const FaultyGateway&) = delete;

  /// Makes system calls of the gateway fail; `kinds` are those of fault_shim.cpp, separated by commas. Must
  /// be called before start().
  void inject_faults(const std::string& kinds, unsigned seed, unsigned one_in = 5);
  /// Writes `config`, starts the process and waits until it answers a PING.
  void start();
  /// Sends SIGTERM, and SIGKILL after `patience` if the process is still running.
  void end(Milliseconds patience);
  /// Sets the wall clock of the process forward or back. May be called at any time.
  void shift_wall_clock(std::chrono::milliseconds shift);

  /// The last status line that the process has logged.
  std::string status_line() const;
  const Address& address() const { return address_; }
  Json config;
  GatewayProcess process;

 private:
  void load_shim();

  const StubBackend& backend_;
  Address address_{};
  FileDescriptor gossip_reservation_;
  std::string clock_file_;
  volatile std::int64_t* clock_shift_ms_ = nullptr;
  bool shim_loaded_ = false;
};

}  // namespace ironquay::net
