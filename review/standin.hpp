// Small stand-ins for the review cases: a discovery agent, a counter, workers, clients and the platform that
// starts the gateways. They follow the operators' protocol page. Every address is in 127.0.0.0/8.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
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
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace standin {

// ---- Time and the record

inline double now() {
  using namespace std::chrono;
  return duration<double>(steady_clock::now().time_since_epoch()).count();
}
inline void wait_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// The case cannot be run; the program ends with exit code 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Record {
 public:
  void open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    if (!file_) throw CannotRun("cannot write " + path);
    start_ = now();
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%9.4f  ", now() - start_);
    va_list values;
    va_start(values, format);
    std::vfprintf(file_, format, values);
    va_end(values);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  double start_ = 0;
};
inline Record& record() {
  static Record instance;
  return instance;
}

// Bytes as they are shown in the record.
inline std::string shown(std::string_view bytes, std::size_t most = 120) {
  std::string text;
  for (const char c : bytes.substr(0, most)) {
    if (c == '\r') {
      text += "\\r";
    } else if (c == '\n') {
      text += "\\n";
    } else {
      text += c >= ' ' && c <= '~' ? c : '?';
    }
  }
  if (bytes.size() > most) text += "...";
  return text;
}

// ---- Sockets

inline sockaddr_in to_address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) throw CannotRun("bad address " + ip);
  return address;
}

inline void no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int listen_at(const std::string& ip, int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = to_address(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 1024) != 0)
    throw CannotRun("cannot listen at " + ip + ": " + std::strerror(errno));
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// A port that is free now, for a program that binds it itself.
inline int free_port(const std::string& ip, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address = to_address(ip, 0);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    throw CannotRun("no free port at " + ip);
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Reads with a buffer and an optional end time (in the time of now(); 0: none).
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  enum class State { good, ended, late };
  State state() const { return state_; }

  bool line(std::string& text, double until = 0) {
    for (;;) {
      const auto end = buffer_.find("\r\n");
      if (end != std::string::npos) {
        text = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
      }
      if (!fill(until)) return false;
    }
  }
  bool bytes(std::size_t size, std::string& text, double until = 0) {
    while (buffer_.size() < size)
      if (!fill(until)) return false;
    text = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

 private:
  bool fill(double until) {
    if (until > 0) {
      pollfd one{fd_, POLLIN, 0};
      const double left = until - now();
      if (left <= 0 || poll(&one, 1, static_cast<int>(left * 1000) + 1) <= 0) {
        state_ = State::late;
        return false;
      }
    }
    char piece[16384];
    const ssize_t size = recv(fd_, piece, sizeof piece, 0);
    if (size <= 0) {
      state_ = State::ended;
      return false;
    }
    buffer_.append(piece, static_cast<std::size_t>(size));
    return true;
  }

  int fd_;
  std::string buffer_;
  State state_ = State::good;
};

// ---- RESP

inline std::string bulk(std::string_view text) {
  return "$" + std::to_string(text.size()) + "\r\n" + std::string(text) + "\r\n";
}
inline std::string command(const std::vector<std::string>& words) {
  std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) bytes += bulk(word);
  return bytes;
}
// Reads a command. Returns false at the end of the connection; `words` is empty if the form is wrong.
inline bool read_command(Reader& reader, std::vector<std::string>& words) {
  words.clear();
  std::string line;
  if (!reader.line(line)) return false;
  if (line.empty() || line[0] != '*') return true;
  const int count = std::atoi(line.c_str() + 1);
  for (int i = 0; i < count; ++i) {
    if (!reader.line(line)) return false;
    std::string word;
    if (line.empty() || line[0] != '$') {
      words.clear();
      return true;
    }
    const auto size = static_cast<std::size_t>(std::atol(line.c_str() + 1));
    if (!reader.bytes(size + 2, word)) return false;
    words.push_back(word.substr(0, size));
  }
  return true;
}
// A worker's answer: the value, no figures on use, no load report.
inline std::string value_answer(std::string_view value) { return "*3\r\n" + bulk(value) + "$-1\r\n$-1\r\n"; }

// ---- Servers: each accepted connection gets a thread

class Server {
 public:
  explicit Server(const std::string& ip) : ip_(ip) { fd_ = listen_at(ip_, port_); }
  virtual ~Server() = default;
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  void start() {
    std::thread([this] {
      for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        no_delay(fd);
        std::thread([this, fd] {
          serve(fd);
          ::close(fd);
        }).detach();
      }
    }).detach();
  }

 protected:
  virtual void serve(int fd) = 0;

 private:
  std::string ip_;
  int port_ = 0;
  int fd_ = -1;
};

// The counter: adds to names with a life, in turn.
class Counter : public Server {
 public:
  using Server::Server;

 protected:
  void serve(int fd) override {
    Reader reader(fd);
    std::vector<std::string> words;
    while (read_command(reader, words)) {
      std::string answer = "-ERR no such call\r\n";
      if (words.size() == 1 && words[0] == "PING") answer = "+PONG\r\n";
      if (!words.empty() && (words[0] == "CLIENT" || words[0] == "SELECT")) answer = "+OK\r\n";
      if (words.size() == 4 && words[0] == "CNT.ADD") answer = add(words);
      if (!send_all(fd, answer)) return;
    }
  }

 private:
  std::string add(const std::vector<std::string>& words) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const double time = now();
    auto& entry = names_[words[1]];
    if (entry.second <= time)
      entry = {0, time + std::clamp(std::atof(words[3].c_str()), 1.0, 60000.0) / 1000};
    entry.first += std::atof(words[2].c_str());
    char text[64];
    std::snprintf(text, sizeof text, "%.7g", entry.first);
    return bulk(text);
  }
  std::mutex mutex_;
  std::map<std::string, std::pair<double, double>> names_;
};

// The agent of discovery: whole list first, then changes, an empty line every 2 s.
class Agent : public Server {
 public:
  using Server::Server;
  void set(const std::string& host, const std::string& dial, int block, const std::string& health) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::ostringstream entry;
    entry << R"({"host":")" << host << R"(","dial":")" << dial
          << R"(","site":"laval-dc1","class":"std-3c","block":)" << block << R"(,"health":")" << health
          << R"(","share":1.0,"born_ms":0})";
    hosts_[host] = entry.str();
    ++seq_;
    changes_.push_back({seq_, entry.str()});
    if (health == "terminated") hosts_.erase(host);
  }

 protected:
  void serve(int fd) override {
    Reader reader(fd);
    std::string line;
    std::string first;
    if (!reader.line(first)) return;
    while (reader.line(line) && !line.empty()) {
    }
    if (first.find("watch=1") == std::string::npos) {
      const std::string body = whole() + "\n";
      send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
      return;
    }
    int told = seq();
    if (!send_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    if (!chunk(fd, whole() + "\n")) return;
    double last = now();
    for (;;) {
      wait_s(0.01);
      const std::string changes = since(told);
      if (!changes.empty()) {
        if (!chunk(fd, changes)) return;
        last = now();
      } else if (now() - last >= 2) {
        if (!chunk(fd, "\n")) return;
        last = now();
      }
    }
  }

 private:
  static bool chunk(int fd, const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return send_all(fd, size + text + "\r\n");
  }
  int seq() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return seq_;
  }
  std::string whole() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string text = R"({"seq":)" + std::to_string(seq_) + R"(,"whole":true,"hosts":[)";
    bool first = true;
    for (const auto& [host, entry] : hosts_) {
      if (!first) text += ",";
      first = false;
      text += entry;
    }
    return text + "]}";
  }
  std::string since(int& told) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string text;
    for (const auto& [seq, entry] : changes_) {
      if (seq <= told) continue;
      text += R"({"seq":)" + std::to_string(seq) + R"(,"whole":false,"hosts":[)" + entry + "]}\n";
    }
    told = seq_;
    return text;
  }
  std::mutex mutex_;
  int seq_ = 1;
  std::map<std::string, std::string> hosts_;
  std::vector<std::pair<int, std::string>> changes_;
};

// ---- Requests that clients have sent, so that workers can tell foreign ones

struct Sent {
  std::string verb, customer, id, route, plan, key, body;
  bool has_body = false;
};

class Ledger {
 public:
  void add(const Sent& sent) {
    const std::lock_guard<std::mutex> lock(mutex_);
    sent_[sent.id] = sent;
  }
  // Whether a client has sent this command. `d` may differ, everything else must be unchanged.
  bool knows(const std::vector<std::string>& words) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (words.size() != 4 && words.size() != 5) return false;
    const auto found = sent_.find(words[2]);
    if (found == sent_.end()) return false;
    const Sent& sent = found->second;
    if (words[0] != sent.verb || words[1] != sent.customer) return false;
    if (words[3].rfind("c=" + sent.route + ",t=" + sent.plan + ",d=", 0) != 0) return false;
    return (words.size() == 5) == sent.has_body && (!sent.has_body || words[4] == sent.body);
  }

 private:
  std::mutex mutex_;
  std::map<std::string, Sent> sent_;
};

// The bytes of a request. `timeout_ms` is the client's time.
inline std::string request(const Sent& sent, int timeout_ms, int spread) {
  std::string attributes = "c=" + sent.route + ",t=" + sent.plan + ",d=" + std::to_string(timeout_ms);
  if (!sent.key.empty()) attributes += ",k=" + sent.key;
  attributes += ",units=1,spread=" + std::to_string(spread) + ",first=0";
  std::vector<std::string> words = {sent.verb, sent.customer, sent.id, attributes};
  if (sent.has_body) words.push_back(sent.body);
  return command(words);
}

// ---- Clients

struct Answer {
  enum class Kind { value, busy, error, ended, late } kind = Kind::late;
  std::string text;
  const char* name() const {
    static const char* const names[] = {"value", "refused", "failed", "connection ended, no answer",
                                        "no answer"};
    return names[static_cast<int>(kind)];
  }
};

class ClientConnection {
 public:
  ClientConnection() = default;
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;
  ~ClientConnection() { close(); }
  bool open(const std::string& ip, int port) {
    close();
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = to_address(ip, port);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      close();
      return false;
    }
    no_delay(fd_);
    reader_.emplace(fd_);
    return true;
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    reader_.reset();
  }
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  bool send(std::string_view bytes) { return fd_ >= 0 && send_all(fd_, bytes); }
  Answer answer(double until) {
    Answer answer;
    std::string line;
    if (!reader_ || !reader_->line(line, until)) return ended();
    if (!line.empty() && line[0] == '$') {
      const long size = std::atol(line.c_str() + 1);
      if (size < 0) return {Answer::Kind::error, line};
      if (!reader_->bytes(static_cast<std::size_t>(size) + 2, line, until)) return ended();
      return {Answer::Kind::value, line.substr(0, static_cast<std::size_t>(size))};
    }
    if (line.rfind("-BUSY", 0) == 0) return {Answer::Kind::busy, line};
    return {Answer::Kind::error, line};
  }
  // Whether the gateway has ended the connection (nothing else is waiting to be read).
  bool ended_by_peer() const {
    char one = 0;
    return fd_ >= 0 && recv(fd_, &one, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

 private:
  Answer ended() const {
    const bool late = reader_ && reader_->state() == Reader::State::late;
    return {late ? Answer::Kind::late : Answer::Kind::ended, ""};
  }
  int fd_ = -1;
  std::optional<Reader> reader_;
};

// ---- The platform: settings, configuration, processes

// The settings of a small deployment of `rating-laval`, with the figures of its site file and of the wire
// page.
inline std::string settings(int me, int siblings) {
  std::ostringstream out;
  out << R"({"bounds":{"cancelling":true,"connect_timeout":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":561830,)"
      << R"("idle_close":30000.0,"max_retry_after":500.0,"max_streams":100,"may_duplicate":false,"may_tell":true,)"
      << R"("open_cap":22473,"probes":true,"retry_after":true,"try_limit":6},)"
      << R"("classes":[)"
      << R"({"effect":"read_like","gain":1.0,"give_up":3000.0,"key_scope":"all","key_ttl":5000.0,"late_share":0.0,)"
      << R"("name":"rate-lookup","on_time":1000.0,"stream":false},)"
      << R"({"effect":"read_like","gain":3.0,"give_up":3000.0,"key_scope":"all","key_ttl":5000.0,"late_share":0.0,)"
      << R"("name":"quote-compare","on_time":1000.0,"stream":false},)"
      << R"({"effect":"idempotency_key","gain":2.0,"give_up":4000.0,"key_scope":"cell","key_ttl":4000.0,)"
      << R"("late_share":0.0,"name":"quote-bind","on_time":1500.0,"stream":false}],)"
      << R"("clients":{"marks_retry":true},)"
      << R"("contract":{"answer_slack":8.0,"ask_within":10000.0,"cold_share":0.25,"drain_grace":500.0,"fall":1000.0,)"
      << R"("fall_multiple":4.0,"warm_after":15000.0},)"
      << R"("family":"gate","family_info":{"call_price":0.005,"count_limit":80.0,"counter":true,"max_units":8,)"
      << R"("peer_intake":40.0,"settles":false,"use_period":0.0},)"
      << R"("goal":{"whole":0.55,"worst_class":0.0,"worst_tenant":0.25,"worst_window":0.2},)"
      << R"("kinds":["std-3c"],"locality":"laval-dc1","me":)" << me << R"(,"plans":[)"
      << R"({"at_once":0,"beyond_earns":0.0,"cap_slack":0.0,"hard_burst":0.0,"name":"cabinet","never_over_rate":0.0,)"
      << R"("overrun_cost":0.8,"refill":1.7,"store_size":16.0,"value_factor":0.8},)"
      << R"({"at_once":0,"beyond_earns":0.0,"cap_slack":0.0,"hard_burst":0.0,"name":"grand-compte",)"
      << R"("never_over_rate":0.0,"overrun_cost":0.8,"refill":25.0,"store_size":53.0,"value_factor":1.6}],)"
      << R"("registry_mode":"pushed","report":{"fields":[],"how":"off"},"round":2.0,"siblings":)" << siblings
      << R"(,"stages":["rating-fleet"],"tariffs":{"connection":0.0,"cross_zone":0.0,"handshake":0.0,)"
      << R"("late_fail":0.044,"moves":0.0,"origin":0.0,"peer":0.043,"probe":0.01,"registry_mode":0.0,"waste":0.08},)"
      << R"("tier":0,"weights":"rough","zones":["laval-dc1"]})";
  return out.str();
}

// The value of `run` in the deploy file.
inline std::string run_command(const std::string& root) {
  std::ifstream file(root + "/deploy/balancer.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("run", 0) != 0) continue;
    const auto first = line.find('"');
    const auto last = line.find('"', first + 1);
    if (first != std::string::npos && last != std::string::npos)
      return line.substr(first + 1, last - first - 1);
  }
  throw CannotRun("deploy/balancer.toml has no run");
}

struct Limits {
  int memory_mb = 192;
  int sockets = 1024;
};

class Gateway {
 public:
  Gateway(int number, std::string ip) : number_(number), ip_(std::move(ip)) {
    port_ = free_port(ip_, SOCK_STREAM);
    peer_port_ = free_port(ip_, SOCK_DGRAM);
  }
  ~Gateway() { kill_now(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  const std::string& ip() const { return ip_; }
  int port() const { return port_; }
  int number() const { return number_; }
  std::string peer() const { return ip_ + ":" + std::to_string(peer_port_); }
  std::string log_path() const { return folder_ + "/log-" + std::to_string(number_); }

  // Starts `run` from the root by /bin/sh, as the platform does.
  void start(const std::string& root, const std::string& folder, const std::string& discovery,
             const std::string& counter, const std::vector<std::string>& peers, const std::string& settings,
             const Limits& limits = Limits()) {
    folder_ = folder;
    const std::string config = folder + "/config-" + std::to_string(number_) + ".json";
    const std::string listen = ip_ + ":" + std::to_string(port_);
    std::ofstream out(config);
    out << R"({"name":"n)" << number_ << R"(","listen":")" << listen << R"(","discovery":")" << discovery
        << R"(","seed":"8c1f30d27a5be96)" << number_ << R"(","limits":{"cores":1.0,"memory_mb":)"
        << limits.memory_mb << R"(,"sockets":)" << limits.sockets << R"(},)"
        << R"("peer_listen":")" << peer() << R"(","peers":[)";
    for (std::size_t i = 0; i < peers.size(); ++i) out << (i ? "," : "") << '"' << peers[i] << '"';
    out << R"(],"counter":")" << counter << R"(","known":{"seq":0,"whole":true,"hosts":[]},"settings":)"
        << settings << "}\n";
    out.close();
    const std::string run = run_command(root);
    const std::string temporary = folder + "/tmp-" + std::to_string(number_);
    mkdir(temporary.c_str(), 0700);
    const std::string log = log_path();
    pid_ = fork();
    if (pid_ < 0) throw CannotRun("fork failed");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("GW_CONFIG", config.c_str(), 1);
      setenv("GW_NAME", ("n" + std::to_string(number_)).c_str(), 1);
      setenv("GW_LISTEN", listen.c_str(), 1);
      setenv("GW_DISCOVERY", discovery.c_str(), 1);
      setenv("TMPDIR", temporary.c_str(), 1);
      const int out_fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      dup2(out_fd, 1);
      dup2(out_fd, 2);
      if (chdir(root.c_str()) != 0) _exit(127);
      execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    record().line("platform: gateway n%d started, process %d, listens at %s", number_, pid_, listen.c_str());
  }

  // Waits until PING gets +PONG.
  void wait_ready() const {
    const double until = now() + 12;
    while (now() < until) {
      ClientConnection front;
      if (front.open(ip_, port_) && front.send(command({"PING"}))) {
        const Answer answer = front.answer(now() + 1);
        if (answer.text == "+PONG") {
          record().line("platform: gateway n%d is ready", number_);
          return;
        }
      }
      wait_s(0.05);
    }
    throw CannotRun("a gateway is not ready within 12 s");
  }

  void signal(int number) const {
    if (pid_ > 0 && !ended_) ::kill(pid_, number);
  }
  // Stops the process and waits until the system shows it as stopped.
  void hold() const {
    signal(SIGSTOP);
    const std::string path = "/proc/" + std::to_string(pid_) + "/stat";
    for (int i = 0; i < 2000; ++i) {
      std::ifstream file(path);
      std::string text;
      std::getline(file, text);
      const auto bracket = text.rfind(')');
      if (bracket != std::string::npos && bracket + 2 < text.size() && text[bracket + 2] == 'T') return;
      std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
  }
  // The memory that the process has in use, in kB; 0 if it has ended.
  long resident_kb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6);
    return 0;
  }
  void go_on() const { signal(SIGCONT); }

  // Whether the process has ended by itself. Describes how in `text`.
  bool has_ended(std::string& text) {
    if (pid_ <= 0 || ended_) return ended_;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    ended_ = true;
    text = WIFEXITED(status) ? "exit code " + std::to_string(WEXITSTATUS(status))
                             : "signal " + std::to_string(WTERMSIG(status));
    return true;
  }
  void kill_now() {
    if (pid_ <= 0 || ended_) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    ended_ = true;
  }
  // Copies the last lines of the gateway's log to the record.
  void record_log(int lines) const {
    std::ifstream file(log_path());
    std::vector<std::string> all;
    for (std::string line; std::getline(file, line);) all.push_back(line);
    const auto most = static_cast<std::size_t>(lines);
    const std::size_t start = all.size() > most ? all.size() - most : 0;
    for (std::size_t i = start; i < all.size(); ++i) record().line("log of n%d: %s", number_, all[i].c_str());
  }

 private:
  int number_;
  std::string ip_;
  int port_ = 0;
  int peer_port_ = 0;
  std::string folder_;
  pid_t pid_ = -1;
  bool ended_ = false;
};

// The frame of a case: `arguments` are the root of the repository, a temporary folder and the path of the
// record.
inline int run_case(
    int argc, char** argv,
    const std::function<bool(const std::string& root, const std::string& folder, bool trouble)>& body) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 4) {
    std::fprintf(stderr, "usage: case ROOT FOLDER RECORD\n");
    return 2;
  }
  const char* variable = std::getenv("TROUBLE");
  const bool trouble = !variable || std::strcmp(variable, "0") != 0;
  int code = 2;
  try {
    record().open(argv[3]);
    record().line("case begins, trouble %s", trouble ? "on" : "off");
    code = body(argv[1], argv[2], trouble) ? 0 : 1;
    record().line("result: the rule %s", code == 0 ? "held" : "was broken");
  } catch (const std::exception& error) {
    record().line("the case could not run: %s", error.what());
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
  }
  std::fflush(nullptr);
  _exit(code);  // threads of the stand-ins may still run
}

}  // namespace standin
