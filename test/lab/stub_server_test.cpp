// Tests of a real gateway process between stub servers, under load from the load generator.
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <thread>

#include "lab/loadgen/gateway_config_writer.hpp"
#include "lab/loadgen/load_generator.hpp"
#include "lab/loopback.hpp"
#include "lab/scenario/scenario_parser.hpp"
#include "lab/stubs/stub_counter.hpp"
#include "lab/stubs/stub_discovery_agent.hpp"
#include "lab/stubs/stub_worker.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

constexpr char kScenario[] = R"(
[gatekeepers]
many = 1
[workers]
many = 2
cores = 8
[clients]
most_units = 2
[[route]]
name = "lookup"
work_ms = 5
client_timeout_ms = 1500
[[route]]
name = "bind"
work_ms = 5
repeat = "tokened"
[[plan]]
name = "large"
customers = 1000
quota = 1000
)";

constexpr Duration kPollInterval = 10ms;
constexpr int kMaxStartPolls = 500;  // the gateway must be ready within this number of poll intervals

const net::Address kAnyPort = parse_loopback_address("127.0.0.1:0");

// An address that no socket is bound to.
net::Address find_free_address() {
  net::Address address = parse_loopback_address("127.77.1.1:0");
  const net::FileDescriptor socket = net::listen_tcp(address);
  socklen_t size = sizeof address;
  getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

// A gateway process, with its configuration file and its log in a temporary directory. The destructor kills
// the process and removes the directory.
class GatewayProcess {
 public:
  explicit GatewayProcess(const std::string& config) {
    char directory[] = "/tmp/ironquay-stubs-XXXXXX";
    directory_ = mkdtemp(directory);
    std::ofstream(config_path()) << config;
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log_path().c_str(), O_CREAT | O_WRONLY, 0600);
    std::string variable = "GW_CONFIG=" + config_path();
    std::string program = IRONQUAY_PROGRAM;
    char* arguments[] = {program.data(), nullptr};
    char* variables[] = {variable.data(), nullptr};
    REQUIRE(posix_spawn(&pid_, program.c_str(), &files, nullptr, arguments, variables) == 0);
    posix_spawn_file_actions_destroy(&files);
  }
  ~GatewayProcess() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    std::system(("rm -r " + directory_).c_str());
  }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  std::string log() const {
    std::ostringstream text;
    text << std::ifstream(log_path()).rdbuf();
    return text.str();
  }
  // Returns when the log says that the gateway is ready, or after kMaxStartPolls.
  void wait_until_ready() const {
    for (int i = 0; i < kMaxStartPolls && log().find("ready") == std::string::npos; ++i)
      std::this_thread::sleep_for(kPollInterval);
  }

 private:
  std::string config_path() const { return directory_ + "/config.json"; }
  std::string log_path() const { return directory_ + "/log"; }

  std::string directory_;
  pid_t pid_ = 0;
};

// One gateway process, and stubs of two workers, the counter and the discovery service. The stubs share one
// thread.
class Deployment {
 public:
  using Script = std::function<void(Deployment&)>;

  // `script` may change the stubs during the test. It runs in the stubs' thread after start_script().
  explicit Deployment(const Script& script = [](Deployment&) {})
      : scenario(parse_scenario(kScenario, "test")),
        first_worker(loop_, kAnyPort, scenario, 1),
        second_worker(loop_, kAnyPort, scenario, 2),
        counter(loop_, kAnyPort),
        agent(loop_, kAnyPort),
        gateway_address_(find_free_address()),
        poll_(loop_, [this] { poll(); }),
        script_(loop_, [this, script] { script(*this); }) {
    agent.set_host("s-a", first_worker.address(), HostHealth::in_service);
    agent.set_host("s-b", second_worker.address(), HostHealth::in_service);
    gateway_.emplace(config());
    poll_.expire_after(kPollInterval);
    thread_ = std::thread([this] { loop_.run(); });
    gateway_->wait_until_ready();
  }
  ~Deployment() { stop_stubs(); }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Requests that the stubs' thread runs the script.
  void start_script() { script_requested_ = true; }
  // Ends the stubs' thread, so that the test may read the stubs' counts.
  void stop_stubs() {
    stop_requested_ = true;
    if (thread_.joinable()) thread_.join();
  }
  std::string log() const { return gateway_->log(); }
  // Sends `rate` requests per second to the gateway and returns the load generator's figures.
  nlohmann::ordered_json generate_load_for(Duration duration, double rate) const {
    net::EventLoop loop;
    LoadOptions options;
    options.targets = {gateway_address_};
    options.rate = rate;
    options.duration = duration;
    options.max_requests = 100000;
    const std::atomic<bool> stop = false;
    return generate_load(loop, scenario, options, stop);
  }

 private:
  net::EventLoop loop_;

 public:
  Scenario scenario;
  StubWorker first_worker;
  StubWorker second_worker;
  StubCounter counter;
  StubDiscoveryAgent agent;

 private:
  std::string config() const {
    return gateway_config(scenario, 0,
                          {{net::to_string(gateway_address_)}, agent.address(), counter.address()})
        .dump();
  }
  void poll() {
    if (script_requested_.exchange(false)) script_.expire_after(Duration(0));
    if (stop_requested_) return loop_.stop();
    poll_.expire_after(kPollInterval);
  }

  net::Address gateway_address_;
  net::Timer poll_;
  net::Timer script_;
  std::optional<GatewayProcess> gateway_;
  std::atomic<bool> stop_requested_ = false;
  std::atomic<bool> script_requested_ = false;
  std::thread thread_;
};

// Generates load for `duration`, and starts the deployment's script after `script_delay`. Stops the stubs and
// returns the load generator's figures.
nlohmann::ordered_json load_with_script(Deployment& deployment, Duration script_delay, Duration duration,
                                        double rate) {
  std::thread script([&] {
    std::this_thread::sleep_for(script_delay);
    deployment.start_script();
  });
  auto figures = deployment.generate_load_for(duration, rate);
  script.join();
  deployment.stop_stubs();
  return figures;
}

TEST_CASE("a gateway between stubs serves its load, and every request has one outcome") {
  Deployment deployment;
  const auto figures = deployment.generate_load_for(2s, 100);
  deployment.stop_stubs();
  const auto& all = figures["all"];
  INFO(figures.dump(1) << deployment.log());
  CHECK(all["asked"] > 100);
  CHECK(all["admitted"] > all["asked"].get<double>() * 0.95);
  CHECK(all["lost"] == 0);
  CHECK(all["asked"] ==
        all["admitted"].get<int>() + all["rate_limited"].get<int>() + all["errored"].get<int>());
  CHECK(deployment.first_worker.executed() + deployment.second_worker.executed() >= all["admitted"]);
  CHECK(deployment.first_worker.executed() > 0);
  CHECK(deployment.second_worker.executed() > 0);
  CHECK(all["p50_ms"] > 0.5);
  CHECK(all["p99.9_ms"] >= all["p50_ms"]);
}

TEST_CASE("a draining and a failing worker lose no requests, and a draining worker receives no new ones") {
  std::uint64_t received_before_drain = 0;
  Deployment deployment([&](Deployment& stubs) {
    stubs.agent.set_host("s-a", stubs.first_worker.address(), HostHealth::terminating);
    Fault error_fault;
    error_fault.kind = FaultKind::worker_error;
    error_fault.duration = 300ms;
    error_fault.factor = 1;
    stubs.second_worker.inject(error_fault);
    received_before_drain = stubs.first_worker.received();
  });
  const auto figures = load_with_script(deployment, 500ms, 2s, 100);
  INFO(figures.dump(1) << deployment.log());
  CHECK(received_before_drain > 0);
  // Requests that were in flight when the agent sent the update may still arrive.
  CHECK(deployment.first_worker.received() <= received_before_drain + 3);
  CHECK(figures["all"]["lost"] == 0);
  CHECK(figures["all"]["admitted"] > figures["all"]["asked"].get<double>() / 2);
}

TEST_CASE(
    "a stall of the workers raises the latency from the scheduled time and does not reduce the requests") {
  Deployment deployment([](Deployment& stubs) {
    Fault hang;
    hang.kind = FaultKind::worker_hang;
    hang.duration = 400ms;
    stubs.first_worker.inject(hang);
    stubs.second_worker.inject(hang);
  });
  const auto figures = load_with_script(deployment, 300ms, 1500ms, 60);
  INFO(figures.dump(1));
  CHECK(figures["all"]["asked"] > 50);
  CHECK(figures["all"]["p99_ms"] > 100);
  CHECK(figures["all"]["lost"] == 0);
}

}  // namespace
}  // namespace ironquay::lab
