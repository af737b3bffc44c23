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
      : Command(program.add_subcommand(
            "stand-in", "Run a stub of a worker, the counter or the discovery agent on loopback")) {
    CLI::App& options = subcommand();
    options.add_option("KIND", kind_, "worker, counter or discovery")
        ->required()
        ->check(CLI::IsMember({"worker", "counter", "discovery"}));
    options.add_option("SCENARIO", scenario_file_, "scenario, a TOML file; its workers and faults are used")
        ->required();
    options.add_option("--listen", listen_address_, "address in 127.0.0.0/8; port 0 selects a free port")
        ->capture_default_str();
    options
        .add_option("--number", worker_index_, "index of the worker in the scenario, from 0 (worker only)")
        ->capture_default_str();
    options.add_option("--worker", worker_addresses_,
                       "address of a worker; repeat for each worker (discovery only)");
    options.add_option("--seconds", duration_seconds_, "time in seconds after which the stub exits")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 86400.0));
  }

  int run() override {
    const Scenario scenario = read_scenario_file(scenario_file_);
    const net::Address address = parse_loopback_address(listen_address_);
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
  // Prints the stub's address and runs the loop until the time limit or a signal. Injects the scenario's
  // faults at their times after the start of the loop.
  template <typename Stub>
  void run_stub(net::EventLoop& loop, const Scenario& scenario, Stub& stub) const {
    TimerSet faults(loop);
    for (const Fault& fault : scenario.faults)
      if (affects(fault, stub)) faults.run_in(fault.start_time, [&] { stub.inject(fault); });
    std::cout << stub.address() << std::endl;
    const RunLimit limit(loop, from_seconds(duration_seconds_));
    loop.run();
  }

  // Returns whether the fault affects this stub. A fault that names no workers affects every worker.
  bool affects(const Fault& fault, const StubWorker&) const {
    return fault.workers.empty() ||
           std::find(fault.workers.begin(), fault.workers.end(), worker_index_) != fault.workers.end();
  }
  static bool affects(const Fault&, const StubCounter&) { return true; }
  static bool affects(const Fault&, const StubDiscoveryAgent&) { return true; }

  std::string kind_;
  std::string scenario_file_;
  std::string listen_address_ = "127.0.0.1:0";
  int worker_index_ = 0;
  std::vector<std::string> worker_addresses_;
  double duration_seconds_ = 600;
};

}  // namespace

std::unique_ptr<Command> make_stub_command(CLI::App& program) {
  return std::make_unique<StubCommand>(program);
}

}  // namespace ironquay::lab
