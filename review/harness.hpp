// Stand-ins for the parties that a gateway talks to (workers, discovery, counter, clients), and the gateway process
// itself. Used by the cases 6 to 10. Every address is a loopback address, every wait is bounded.
#pragma once
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr auto kReadyTimeout = 20s;
constexpr auto kExitTimeout = 15s;
constexpr auto kHeartbeatInterval = 2s;
constexpr auto kPollInterval = 10ms;
constexpr int kBacklog = 1024;

inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// ---- Record

// Writes lines to record.txt, each with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(Clock::now()) {
    if (!file_) throw std::runtime_error("cannot write " + path);
  }
  ~Record() { std::fclose(file_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  long milliseconds() const {
    return static_cast<long>(std::chrono::duration_cast<Milliseconds>(Clock::now() - start_).count());
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%7ld ", milliseconds());
    va_list values;
    va_start(values, format);
    std::vfprintf(file_, format, values);
    va_end(values);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  Clock::time_point start_;
  std::mutex mutex_;
};

// ---- Sockets

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  ~Socket() { close(); }

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  bool send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t accepted = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (accepted <= 0) return false;
      sent += static_cast<std::size_t>(accepted);
    }
    return true;
  }
  // Appends what arrives within `timeout`. Returns false at the end of the stream or after an error.
  bool receive(std::string& bytes, Milliseconds timeout) const {
    pollfd state{fd_, POLLIN, 0};
    if (poll(&state, 1, static_cast<int>(timeout.count())) <= 0) return true;
    char buffer[65536];
    const ssize_t received = recv(fd_, buffer, sizeof buffer, 0);
    if (received <= 0) return false;
    bytes.append(buffer, static_cast<std::size_t>(received));
    return true;
  }
  // Makes close() reset the connection.
  void reset_on_close() const {
    const linger option{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  }

 private:
  int fd_ = -1;
};

struct Address {
  std::string host = "127.0.0.1";
  int port = 0;

  std::string text() const { return host + ":" + std::to_string(port); }
  sockaddr_in native() const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
  }
};

// Binds a free port of a loopback address and stores it in `address`.
inline Socket bind_free_port(Address& address, int type = SOCK_STREAM) {
  Socket socket(::socket(AF_INET, type | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in native = address.native();
  socklen_t size = sizeof native;
  if (bind(socket.fd(), reinterpret_cast<sockaddr*>(&native), size) != 0) throw std::runtime_error("bind failed");
  getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&native), &size);
  address.port = ntohs(native.sin_port);
  return socket;
}

// A port that was free a moment ago.
inline Address free_address(const std::string& host) {
  Address address{host, 0};
  bind_free_port(address);
  return address;
}

inline Socket connect_to(const Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in native = address.native();
  if (connect(socket.fd(), reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) socket.close();
  return socket;
}

// ---- RESP

using Words = std::vector<std::string>;

inline std::string command(const Words& words) {
  std::string text = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) text += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return text;
}

// The value of an attribute in a list such as "c=lookup,d=480"; empty if there is none.
inline std::string attribute(const std::string& list, const std::string& name) {
  const std::string text = "," + list + ",";
  const std::size_t start = text.find("," + name + "=");
  if (start == std::string::npos) return {};
  const std::size_t value = start + name.size() + 2;
  return text.substr(value, text.find(',', value) - value);
}

// Takes the first complete command out of `bytes`.
inline std::optional<Words> take_command(std::string& bytes) {
  std::size_t offset = 0;
  const auto read_number = [&](char type) -> std::optional<long> {
    const std::size_t end = bytes.find("\r\n", offset);
    if (end == std::string::npos) return std::nullopt;
    if (bytes[offset] != type) throw std::runtime_error("not a command: " + bytes.substr(0, 60));
    const long number = std::strtol(bytes.c_str() + offset + 1, nullptr, 10);
    offset = end + 2;
    return number;
  };
  const auto count = read_number('*');
  if (!count) return std::nullopt;
  Words words;
  for (long i = 0; i < *count; ++i) {
    const auto length = read_number('$');
    if (!length || bytes.size() < offset + static_cast<std::size_t>(*length) + 2) return std::nullopt;
    words.push_back(bytes.substr(offset, static_cast<std::size_t>(*length)));
    offset += static_cast<std::size_t>(*length) + 2;
  }
  bytes.erase(0, offset);
  return words;
}

// Takes the first complete answer (a line or a bulk string) out of `bytes`: "+PONG", "-BUSY", "$value".
inline std::optional<std::string> take_answer(std::string& bytes) {
  const std::size_t end = bytes.find("\r\n");
  if (end == std::string::npos) return std::nullopt;
  std::string line = bytes.substr(0, end);
  if (line[0] != '$') {
    bytes.erase(0, end + 2);
    return line;
  }
  const auto length = static_cast<std::size_t>(std::strtol(line.c_str() + 1, nullptr, 10));
  if (bytes.size() < end + 2 + length + 2) return std::nullopt;
  std::string value = "$" + bytes.substr(end + 2, length);
  bytes.erase(0, end + 2 + length + 2);
  return value;
}

inline std::string served(const std::string& value) {
  return "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$-1\r\n$-1\r\n";
}

// ---- Servers

// Accepts connections at a free port and runs `serve` for each in a thread of its own, until stop().
class Server {
 public:
  using Serve = std::function<void(Server&, Socket)>;

  explicit Server(Serve serve, const std::string& host = "127.0.0.1") : address_{host, 0}, serve_(std::move(serve)) {
    listener_ = bind_free_port(address_);
    listen(listener_.fd(), kBacklog);
    acceptor_ = std::thread([this] { accept_connections(); });
  }
  ~Server() { stop(); }

  const Address& address() const { return address_; }
  bool running() const { return running_; }
  void stop() {
    if (!running_.exchange(false)) return;
    acceptor_.join();
    for (std::thread& thread : threads_) thread.join();
  }

 private:
  void accept_connections() {
    while (running_) {
      pollfd state{listener_.fd(), POLLIN, 0};
      if (poll(&state, 1, 20) <= 0) continue;
      const int fd = accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      threads_.emplace_back([this, fd] { serve_(*this, Socket(fd)); });
    }
  }

  Address address_;
  Serve serve_;
  Socket listener_;
  std::atomic<bool> running_{true};
  std::thread acceptor_;
  std::vector<std::thread> threads_;
};

// Reads the commands of a connection and answers each by `answer`, in order, until the connection ends. An empty
// answer closes the connection.
inline void serve_commands(Server& server, const Socket& socket,
                           const std::function<std::string(const Words&)>& answer) {
  std::string bytes;
  while (server.running()) {
    if (!socket.receive(bytes, 20ms)) return;
    while (const auto words = take_command(bytes)) {
      const std::string reply = answer(*words);
      if (reply.empty() || !socket.send(reply)) return;
    }
  }
}

// A counter that adds.
class Counter {
 public:
  Counter() : server_([this](Server& server, Socket socket) {
    serve_commands(server, socket, [this](const Words& words) { return answer(words); });
  }) {}
  const Address& address() const { return server_.address(); }

 private:
  std::string answer(const Words& words) {
    if (words[0] == "PING") return "+PONG\r\n";
    if (words[0] != "CNT.ADD" || words.size() != 4) return "-ERR no such call\r\n";
    const std::lock_guard lock(mutex_);
    const double total = totals_[words[1]] += std::strtod(words[2].c_str(), nullptr);
    char text[40];
    const int size = std::snprintf(text, sizeof text, "%.3f", total);
    return "$" + std::to_string(size) + "\r\n" + text + "\r\n";
  }

  std::mutex mutex_;
  std::map<std::string, double> totals_;
  Server server_;
};

// Serves one list of workers, in service all the time, and an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::string list) : list_(std::move(list)), server_([this](Server& server, Socket socket) {
    serve(server, socket);
  }) {}
  const Address& address() const { return server_.address(); }

 private:
  static std::string chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void serve(Server& server, const Socket& socket) const {
    std::string request;
    while (server.running() && request.find("\r\n\r\n") == std::string::npos)
      if (!socket.receive(request, 20ms)) return;
    if (!socket.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list_ + "\n"))) return;
    auto next_heartbeat = Clock::now() + kHeartbeatInterval;
    std::string ignored;
    while (server.running() && socket.receive(ignored, 20ms)) {
      if (Clock::now() < next_heartbeat) continue;
      next_heartbeat += kHeartbeatInterval;
      if (!socket.send(chunk("\n"))) return;
    }
  }

  std::string list_;
  Server server_;
};

// ---- Gateway

struct Worker {
  std::string name;
  std::string address;
  int cell = 1;
};

inline std::string worker_list(const std::vector<Worker>& workers, int version) {
  std::string text = R"({"seq":)" + std::to_string(version) + R"(,"whole":true,"hosts":[)";
  for (const Worker& worker : workers) {
    if (&worker != &workers.front()) text += ",";
    text += R"({"host":")" + worker.name + R"(","dial":")" + worker.address +
            R"(","site":"here","class":"std","block":)" + std::to_string(worker.cell) +
            R"(,"health":"in_service","share":1.0,"born_ms":0})";
  }
  return text + "]}";
}

// The values of the settings that differ between the cases.
struct Settings {
  int memory_mb = 32;     // per gateway
  int descriptors = 256;  // per gateway
  int objective_ms = 1000;
  int timeout_ms = 3000;  // client timeout
  int window_ms = 4000;   // how long workers discard repeats of a keyed request
  int max_attempts = 6;
  bool may_cancel = true;
  int idle_close_ms = 30000;
};

inline std::string class_settings(const char* name, const char* effect, const Settings& settings) {
  return std::string(R"({"name":")") + name + R"(","effect":")" + effect + R"(","on_time":)" +
         std::to_string(settings.objective_ms) + R"(,"give_up":)" + std::to_string(settings.timeout_ms) +
         R"(,"gain":1.0,"late_share":0.0,"key_scope":"cell","key_ttl":)" + std::to_string(settings.window_ms) + "}";
}

inline std::string settings_text(const Settings& settings) {
  return R"({"classes":[)" + class_settings("lookup", "read_like", settings) + "," +
         class_settings("order", "idempotency_key", settings) + "," +
         class_settings("pay", "non_idempotent", settings) +
         R"(],"plans":[{"name":"team","refill":1000.0,"store_size":1000.0,"at_once":0,"never_over_rate":0.0,)"
         R"("hard_burst":0.0,"beyond_earns":0.0,"overrun_cost":1.0}],)"
         R"("contract":{"cold_share":0.25,"warm_after":15000,"fall":1000,"ask_within":10000,"drain_grace":500},)"
         R"("bounds":{"cancelling":)" + (settings.may_cancel ? "true" : "false") +
         R"(,"may_duplicate":false,"retry_after":true,"try_limit":)" + std::to_string(settings.max_attempts) +
         R"(,"max_retry_after":500,"idle_close":)" + std::to_string(settings.idle_close_ms) +
         R"(,"connect_timeout":250,"open_cap":10000,"may_tell":true},)"
         R"("registry_mode":"pushed","family_info":{"counter":true,"count_limit":80,"peer_intake":40,)"
         R"("max_units":8,"settles":false},"tariffs":{"cross_zone":0},"report":{"fields":[],"how":"off"},)"
         R"("me":0,"siblings":1,"locality":"here","round":2})";
}

struct GatewayAddresses {
  Address listen;
  Address discovery;
  Address counter;
  Address gossip;
};

// A gateway process, started by the command in RUN (the `run` line of the deploy file) from the current directory.
class Gateway {
 public:
  Gateway(const Settings& settings, const GatewayAddresses& addresses, const std::string& known,
          const std::string& directory, const std::string& name)
      : listen_(addresses.listen), config_path_(directory + "/" + name + ".json"), log_path_(directory + "/" + name + ".log") {
    write_config(settings, addresses, known, name);
    start();
  }
  ~Gateway() { kill(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  const Address& address() const { return listen_; }
  pid_t pid() const { return pid_; }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Whether the process has ended by itself.
  bool has_ended() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ < 0;
  }
  int status() const { return status_; }
  bool ends_within(std::chrono::milliseconds time) {
    const auto deadline = Clock::now() + time;
    while (!has_ended() && Clock::now() < deadline) std::this_thread::sleep_for(kPollInterval);
    return pid_ < 0;
  }
  void kill() {
    signal(SIGKILL);
    if (pid_ > 0) waitpid(std::exchange(pid_, -1), &status_, 0);
  }
  // Waits until PING is answered.
  bool becomes_ready() {
    const auto deadline = Clock::now() + kReadyTimeout;
    while (Clock::now() < deadline && !has_ended()) {
      if (answers_ping()) return true;
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }
  std::string log() const {
    std::ifstream file(log_path_);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // The peak of the resident memory, in KiB.
  long peak_kib() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.rfind("VmHWM:", 0) == 0) return std::strtol(line.c_str() + 6, nullptr, 10);
    return 0;
  }

 private:
  void write_config(const Settings& settings, const GatewayAddresses& addresses, const std::string& known,
                    const std::string& name) const {
    std::ofstream file(config_path_);
    file << R"({"name":")" << name << R"(","listen":")" << addresses.listen.text() << R"(","discovery":")"
         << addresses.discovery.text() << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)"
         << settings.memory_mb << R"(,"sockets":)" << settings.descriptors << R"(},"peer_listen":")"
         << addresses.gossip.text() << R"(","peers":[")" << addresses.gossip.text() << R"("],"counter":")"
         << addresses.counter.text() << R"(","known":)" << known << R"(,"settings":)" << settings_text(settings)
         << "}\n";
  }
  void start() {
    const char* run = std::getenv("RUN");
    if (!run) throw std::runtime_error("RUN is not set");
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("fork failed");
    if (pid_ > 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // the gateway does not outlive the case
    setenv("GW_CONFIG", config_path_.c_str(), 1);
    if (!std::freopen(log_path_.c_str(), "w", stderr)) _exit(127);
    execl("/bin/sh", "sh", "-c", run, static_cast<char*>(nullptr));
    _exit(127);
  }
  bool answers_ping() const {
    const Socket socket = connect_to(listen_);
    std::string bytes;
    if (!socket.is_open() || !socket.send(command({"PING"}))) return false;
    for (int i = 0; i < 10 && bytes.empty(); ++i)
      if (!socket.receive(bytes, 50ms)) return false;
    return bytes == "+PONG\r\n";
  }

  Address listen_;
  std::string config_path_;
  std::string log_path_;
  pid_t pid_ = -1;
  int status_ = 0;
};

// The text of a client's request. `effect` is "lookup", "order" or "pay".
inline std::string request_text(const std::string& effect, const std::string& id, int timeout_ms,
                                const std::string& body = {}) {
  const std::string key = effect == "order" ? ",k=" + id : "";
  Words words{effect == "lookup" ? "CALL.GET" : "CALL.POST", "00000000b4d65521", id,
              "c=" + effect + ",t=team,d=" + std::to_string(timeout_ms) + key + ",units=1,spread=1,first=0"};
  if (!body.empty()) words.push_back(body);
  return command(words);
}

// The folder for temporary files, which the script creates and removes.
inline std::string work_directory() {
  const char* path = std::getenv("WORK");
  if (!path) throw std::runtime_error("WORK is not set");
  return path;
}

inline Address free_udp_address() {
  Address address;
  bind_free_port(address, SOCK_DGRAM);
  return address;
}

// ---- Usual clients

// The connections of usual clients: they are kept, and more are opened when all are busy.
class ConnectionPool {
 public:
  explicit ConnectionPool(Address gateway) : gateway_(std::move(gateway)) {}
  Socket open() const { return connect_to(gateway_); }
  Socket take() {
    const std::lock_guard lock(mutex_);
    if (idle_.empty()) return open();
    Socket socket = std::move(idle_.back());
    idle_.pop_back();
    return socket;
  }
  void give_back(Socket socket) {
    const std::lock_guard lock(mutex_);
    idle_.push_back(std::move(socket));
  }

 private:
  Address gateway_;
  std::mutex mutex_;
  std::vector<Socket> idle_;
};

enum class Ending {
  answered,
  closed,   // the gateway ended the connection without an answer
  overdue,  // no answer until the limit, on a connection that the gateway has not ended
};

struct ClientResult {
  Ending ending = Ending::closed;
  std::string answer;
  long milliseconds = 0;  // from the sending of the request to its end
};

// Sends a request as a usual client does. If the gateway ends the connection without an answer, the request is sent
// once more on a new connection. Waits for the answer until `limit` has passed since the request was sent first.
inline ClientResult send_request(ConnectionPool& pool, const std::string& text, Milliseconds limit) {
  const auto start = Clock::now();
  const auto elapsed = [&] { return std::chrono::duration_cast<Milliseconds>(Clock::now() - start); };
  ClientResult result;
  for (const bool first_time : {true, false}) {
    Socket socket = first_time ? pool.take() : pool.open();
    std::string bytes;
    std::optional<std::string> answer;
    bool open = socket.is_open() && socket.send(text);
    while (open && !answer && elapsed() < limit) {
      open = socket.receive(bytes, kPollInterval);
      answer = take_answer(bytes);
    }
    result.milliseconds = elapsed().count();
    if (answer) {
      result.ending = Ending::answered;
      result.answer = *answer;
      if (open) pool.give_back(std::move(socket));
      return result;
    }
    result.ending = open ? Ending::overdue : Ending::closed;
    if (open) return result;
  }
  return result;
}

// Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
inline int run_case(const std::function<int()>& body) {
  ::signal(SIGPIPE, SIG_IGN);
  try {
    return body();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return kCouldNotRun;
  }
}

}  // namespace review
