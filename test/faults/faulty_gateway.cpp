#include "faulty_gateway.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/mman.h>
#include <unistd.h>

#include "../net/support/messages.hpp"

namespace ironquay::net {
namespace {

constexpr const char* kGatewayHost = "127.78.0.1";

}  // namespace

WallClock::WallClock(GatewayProcess& process) {
  char name[] = "/tmp/ironquay-clock-XXXXXX";
  const FileDescriptor file(mkstemp(name));
  file_ = name;
  REQUIRE(ftruncate(file.get(), sizeof(std::int64_t)) == 0);
  void* const shared = mmap(nullptr, sizeof(std::int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
  REQUIRE(shared != MAP_FAILED);
  shift_ms_ = static_cast<volatile std::int64_t*>(shared);
  process.set_variable("LD_PRELOAD=" IRONQUAY_FAULT_SHIM);
  process.set_variable("ASAN_OPTIONS=verify_asan_link_order=0");
  process.set_variable("FAULT_SHIM_CLOCK=" + file_);
}

WallClock::~WallClock() {
  munmap(const_cast<std::int64_t*>(shift_ms_), sizeof(std::int64_t));
  unlink(file_.c_str());
}

FaultyGateway::FaultyGateway(const StubBackend& backend) : backend_(backend) {
  address_ = address_of(listen_tcp(any_port(kGatewayHost)));
  gossip_reservation_ = bind_udp(any_port(kGatewayHost));
  const std::string gossip_address = to_string(address_of(gossip_reservation_));
  config = {{"name", "n0"},
            {"listen", to_string(address_)},
            {"discovery", backend.discovery_address()},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 32}, {"sockets", 512}}},
            {"peer_listen", gossip_address},
            {"peers", {gossip_address, "127.78.0.2:7946"}},
            {"counter", backend.counter_address()},
            {"known", backend.endpoint_list()},
            {"settings", default_settings()}};
}

void FaultyGateway::inject_faults(const std::string& kinds, unsigned seed, unsigned one_in) {
  process.set_variable("FAULT_SHIM_CALLS=" + kinds);
  process.set_variable("FAULT_SHIM_SEED=" + std::to_string(seed));
  process.set_variable("FAULT_SHIM_ONE_IN=" + std::to_string(one_in));
}

void FaultyGateway::start() {
  process.write_config(config.dump());
  gossip_reservation_ = FileDescriptor();
  process.start(backend_.discovery_address());
  REQUIRE(wait_until([&] {
    TestConnection client(connect_tcp(address_));
    client.try_send(kPing, 100ms);
    return client.receive_line_until(Clock::now() + 200ms) == kPong;
  }));
}

void FaultyGateway::end(Milliseconds patience) {
  process.terminate();
  const auto kill_at = Clock::now() + patience;
  while (Clock::now() < kill_at && process.is_running()) std::this_thread::sleep_for(5ms);
  process.send_signal(SIGKILL);
  process.exit_code();
}

std::string FaultyGateway::status_line() const {
  const std::string log = process.log();
  const std::size_t start = log.rfind("ironquay: status ");
  return start == std::string::npos ? std::string() : log.substr(start, log.find('\n', start) - start);
}

}  // namespace ironquay::net
