#include "gateway_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "waiting.hpp"

namespace ironquay::net {

GatewayProcess::GatewayProcess() {
  char directory[] = "/tmp/ironquay-test-XXXXXX";
  directory_ = mkdtemp(directory);
}

GatewayProcess::~GatewayProcess() {
  if (pid_ > 0) {
    int status = 0;
    CHECK(waitpid(pid_, &status, WNOHANG) == 0);  // the process is still running
    kill(pid_, SIGKILL);
    waitpid(pid_, &status, 0);
  }
  std::filesystem::remove_all(directory_);
}

void GatewayProcess::write_config(std::string_view text) const {
  std::ofstream(directory_ + "/config.json") << text;
}

void GatewayProcess::start(const std::string& discovery) {
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDERR_FILENO, (directory_ + "/log").c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND, 0600);
  std::string program = IRONQUAY_PROGRAM;
  std::vector<std::string> environment = variables_;
  environment.push_back("GW_CONFIG=" + directory_ + "/config.json");
  environment.push_back("GW_DISCOVERY=" + discovery);
  std::vector<char*> variables;
  for (std::string& variable : environment) variables.push_back(variable.data());
  variables.push_back(nullptr);
  char* arguments[] = {program.data(), nullptr};
  REQUIRE(posix_spawn(&pid_, program.c_str(), &files, nullptr, arguments, variables.data()) == 0);
  posix_spawn_file_actions_destroy(&files);
}

// Leaves the exit status for exit_code().
bool GatewayProcess::is_running() const {
  siginfo_t status{};
  const int result = waitid(P_PID, static_cast<id_t>(pid_), &status, WEXITED | WNOHANG | WNOWAIT);
  return result == 0 && status.si_pid == 0;
}

int GatewayProcess::exit_code() {
  int status = 0;
  if (!wait_until([&] { return waitpid(pid_, &status, WNOHANG) == pid_; })) return -1;
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
}

void GatewayProcess::send_signal(int signal) const { kill(pid_, signal); }

void GatewayProcess::terminate() const { send_signal(SIGTERM); }

void GatewayProcess::reload() const { send_signal(SIGHUP); }

void GatewayProcess::pause() const {
  send_signal(SIGSTOP);
  REQUIRE(wait_until([&] { return state() == 'T'; }, 1ms));
}

void GatewayProcess::resume() const { send_signal(SIGCONT); }

std::string GatewayProcess::log() const {
  std::ostringstream text;
  text << std::ifstream(directory_ + "/log").rdbuf();
  return text.str();
}

bool GatewayProcess::has_logged(std::string_view text) const { return log().find(text) != std::string::npos; }

std::size_t GatewayProcess::times_logged(std::string_view text) const {
  const std::string content = log();
  std::size_t count = 0;
  for (std::size_t at = content.find(text); at != std::string::npos; at = content.find(text, at + 1)) ++count;
  return count;
}

bool GatewayProcess::logs(std::string_view text) const {
  return wait_until([&] { return has_logged(text); });
}

double GatewayProcess::cpu_seconds() const {
  // Numbers of the fields of /proc/PID/stat, counted from 1. Their values are in clock ticks.
  constexpr int kUserTime = 14;
  constexpr int kSystemTime = 15;
  std::ifstream stat(proc_file("stat"));
  std::string word;
  double ticks = 0;
  for (int field = 1; field <= kSystemTime && stat >> word; ++field)
    if (field >= kUserTime) ticks += std::stod(word);
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

long GatewayProcess::peak_memory_kb() const { return std::atol(status_field("VmHWM:").c_str()); }

bool GatewayProcess::blocks(int signal) const {
  return std::stoull(status_field("SigBlk:"), nullptr, 16) >> (signal - 1) & 1;
}

char GatewayProcess::state() const {
  std::ifstream stat(proc_file("stat"));
  std::string pid;
  std::string name;
  std::string state;
  stat >> pid >> name >> state;
  return state.empty() ? '?' : state[0];
}

std::string GatewayProcess::status_field(std::string_view name) const {
  std::ifstream status(proc_file("status"));
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(name)) return line.substr(name.size());
  FAIL("the process has no field " << name);
  return {};
}

std::string GatewayProcess::proc_file(const char* name) const {
  return "/proc/" + std::to_string(pid_) + "/" + name;
}

}  // namespace ironquay::net
