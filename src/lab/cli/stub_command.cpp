// ironquay-lab stand-in: runs a stub of a worker, the counter or the discovery agent on loopback.
#include <algorithm>
#include <functional>
#include <iostream>

#include "lab/cli/command.hpp"
#include "lab/cli/interruption.hpp"
#include "lab/loopback.hpp"
#include "lab/scenario/scenario_parser.hpp"
#include "lab/stubs/stub_counter.hpp"
#include "lab/stubs/stub_discovery_agent.hpp"
#include "lab/stubs/stub_worker.hpp"
#include "lab/stubs/timer_set.hpp"
#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

class StubCommand : public Command {
 public:
  explicit StubCommand(CLI::App& program)
      : Command(program.add_subcommand("stand-in", "Play a worker, the counter or discovery on loopback")) {
    CLI::App& options = subcommand();
    options.add_option("KIND", kind_, "worker, counter or discovery")
        ->required()
        ->check(CLI::IsMember({"worker", "counter", "discovery"}));
    options.add_option("SCENARIO", file_, "TOML file: workers and faults are taken from it")->required();
    options.add_option("--listen", listen_, "address in 127.0.0.0/8, port 0 for any")->capture_default_str();
    options.add_option("--number", worker_index_, "which of the scenario's workers it is")
        ->capture_default_str();
    options.add_option("--worker", worker_addresses_, "discovery: the address of a worker, for each one");
    options.add_option("--seconds", seconds_, "ends by itself after so long")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 86400.0));
  }

  int run() override {
    const Scenario scenario = read_scenario_file(file_);
    const net::Address address = parse_loopback_address(listen_);
    net::EventLoop loop;
    if (kind_ == "worker") {
      StubWorker worker(loop, address, scenario, static_cast<std::uint32_t>(worker_index_ + 1));
      run_stub(loop, scenario, worker);
    } else if (kind_ == "counter") {
      StubCounter counter(loop, address);
      run_stub(loop, scenario, counter);
    } else {
      StubDiscoveryAgent agent(loop, address);
      for (std::size_t i = 0; i < worker_addresses_.size(); ++i)
        agent.set_host("s-" + std::to_string(i), net::to_string(parse_loopback_address(worker_addresses_[i])),
                       HostHealth::in_service);
      run_stub(loop, scenario, agent);
    }
    return kSuccess;
  }

 private:
  // Injects the scenario's faults, counted from now, until the time is over.
  template <typename Stub>
  void run_stub(net::EventLoop& loop, const Scenario& scenario, Stub& stub) const {
    TimerSet faults(loop);
    for (const Fault& fault : scenario.faults)
      if (concerns(fault, stub)) faults.run_in(fault.start_time, [&] { stub.inject(fault); });
    std::cout << stub.address() << std::endl;
    const RunLimit limit(loop, from_seconds(seconds_));
    loop.run();
  }

  // A fault may name the workers that it concerns.
  bool concerns(const Fault& fault, const StubWorker&) const {
    return fault.workers.empty() ||
           std::find(fault.workers.begin(), fault.workers.end(), worker_index_) != fault.workers.end();
  }
  static bool concerns(const Fault&, const StubCounter&) { return true; }
  static bool concerns(const Fault&, const StubDiscoveryAgent&) { return true; }

  std::string kind_;
  std::string file_;
  std::string listen_ = "127.0.0.1:0";
  int worker_index_ = 0;
  std::vector<std::string> worker_addresses_;
  double seconds_ = 600;
};

}  // namespace

std::unique_ptr<Command> make_stub_command(CLI::App& program) {
  return std::make_unique<StubCommand>(program);
}

}  // namespace ironquay::lab
