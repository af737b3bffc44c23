// Measures how many commands a second a gateway processes on one connection.
// usage: ironquay_connection_bench GATEWAY-PROGRAM
// The gateway runs as a child process on a loopback address, with the settings of a minimal deployment and no
// workers.
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "net/resp.hpp"
#include "net/socket.hpp"

namespace ironquay {
namespace {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr const char* kGatewayAddress = "127.0.0.1:26379";
constexpr auto kDuration = 3s;
constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;

nlohmann::json config() {
  const nlohmann::json route = {{"name", "lookup"}, {"effect", "read_like"}, {"on_time", 1000},
                                {"give_up", 3000},  {"gain", 1.0},           {"late_share", 0.0}};
  const nlohmann::json plan = {{"name", "team"},      {"refill", 1000.0},   {"store_size", 1000.0},
                               {"at_once", 0},        {"hard_burst", 0.0},  {"never_over_rate", 0.0},
                               {"beyond_earns", 0.0}, {"overrun_cost", 1.0}};
  const nlohmann::json bounds = {{"cancelling", true}, {"may_duplicate", false}, {"retry_after", true},
                                 {"try_limit", 6},     {"max_retry_after", 500}, {"idle_close", 30000},
                                 {"open_cap", 1000},   {"connect_timeout", 250}, {"may_tell", false}};
  return {
      {"name", "n0"},
      {"listen", kGatewayAddress},
      {"discovery", "127.0.0.1:26380"},
      {"seed", "1"},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"known", {{"seq", 1}, {"whole", true}, {"hosts", nlohmann::json::array()}}},
      {"settings",
       {{"classes", {route}},
        {"plans", {plan}},
        {"contract", {{"cold_share", 0.25}, {"warm_after", 15000}, {"fall", 1000}, {"ask_within", 10000}}},
        {"bounds", bounds},
        {"registry_mode", "on_request"},
        {"family_info", {{"counter", false}, {"max_units", 8}, {"settles", false}}},
        {"tariffs", {{"cross_zone", 0}}},
        {"report", {{"fields", nlohmann::json::array()}, {"how", "off"}}},
        {"me", 0},
        {"siblings", 1},
        {"locality", "here"},
        {"round", 2}}}};
}

std::string repeated(const std::string& command) {
  std::string piece;
  while (piece.size() < kPieceBytes) piece += command;
  return piece;
}

net::FileDescriptor connect_when_ready() {
  for (int attempt = 0; attempt < 200; ++attempt) {
    net::FileDescriptor fd = net::connect_tcp(*net::parse_address(kGatewayAddress));
    pollfd event{fd.get(), POLLOUT, 0};
    if (poll(&event, 1, 50) == 1 && !(event.revents & (POLLERR | POLLHUP))) return fd;
    std::this_thread::sleep_for(50ms);
  }
  return net::FileDescriptor();
}

// Returns the answers per second to `command`, written as fast as the gateway reads it.
double answers_per_second(const std::string& command) {
  const net::FileDescriptor fd = connect_when_ready();
  const std::string piece = repeated(command);
  std::size_t offset = 0;
  long answers = 0;
  const auto start = Clock::now();
  while (Clock::now() - start < kDuration) {
    pollfd event{fd.get(), POLLIN | POLLOUT, 0};
    poll(&event, 1, 100);
    if (event.revents & POLLOUT) {
      const ssize_t sent = send(fd.get(), piece.data() + offset, piece.size() - offset, MSG_NOSIGNAL);
      if (sent > 0) offset = (offset + static_cast<std::size_t>(sent)) % piece.size();
    }
    std::array<char, kPieceBytes> bytes{};
    const ssize_t size = recv(fd.get(), bytes.data(), bytes.size(), 0);
    for (ssize_t i = 0; i < size; ++i) answers += bytes[static_cast<std::size_t>(i)] == '\n';
  }
  return static_cast<double>(answers) / std::chrono::duration<double>(Clock::now() - start).count();
}

std::string words(std::initializer_list<std::string_view> list) {
  std::string command;
  net::resp::append_array_header(command, list.size());
  for (const std::string_view word : list) net::resp::append_bulk_string(command, word);
  return command;
}

int run(char* program) {
  char directory[] = "/tmp/ironquay-bench-XXXXXX";
  if (!mkdtemp(directory)) return 1;
  const std::string path = std::string(directory) + "/config.json";
  std::ofstream(path) << config().dump();
  std::string variable = "GW_CONFIG=" + path;
  std::array<char*, 2> arguments = {program, nullptr};
  std::array<char*, 2> variables = {variable.data(), nullptr};
  pid_t pid = 0;
  if (posix_spawn(&pid, program, nullptr, nullptr, arguments.data(), variables.data()) != 0) return 1;
  std::printf("PING                 %12.0f a second\n", answers_per_second(words({"PING"})));
  std::printf(
      "unknown class        %12.0f a second\n",
      answers_per_second(words({"CALL.GET", "00000000b4d65521", "1", "c=none,t=team,d=480,units=2"})));
  std::printf("request, no worker   %12.0f a second\n",
              answers_per_second(words(
                  {"CALL.GET", "00000000b4d65521", "1", "c=lookup,t=team,d=0,units=2,spread=1,first=0"})));
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  return 0;
}

}  // namespace
}  // namespace ironquay

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fputs("usage: ironquay_connection_bench GATEWAY-PROGRAM\n", stderr);
    return 2;
  }
  return ironquay::run(argv[1]);
}
