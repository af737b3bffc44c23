// Usual clients that send many commands at once on one connection, and workers whose answers are long. Used by the
// cases 6 and 7.
#pragma once
#include <deque>
#include <set>

#include "harness.hpp"

namespace review {

constexpr int kWorkers = 8;
constexpr auto kLookupTime = 95ms;
constexpr auto kOrderTime = 270ms;
constexpr std::size_t kValueBytes = 65536;

constexpr int kObjectiveMs = 2000;
constexpr int kClientTimeoutMs = 2500;
// A final answer may come half a second after the request's time; each limit grows by 50 ms on sockets.
constexpr auto kAnswerSlack = 550ms;
constexpr int kEthernetSegmentBytes = 1448;

// How the pipelining clients send: in each wave, every client sends `chunks` times `commands`, one chunk each `step`.
// Without trouble the same clients wait for each answer before they send the next command.
struct PipelinePlan {
  int clients = 0;
  int commands = 0;
  int chunks = 1;
  Milliseconds step{0};
  Milliseconds spread{0};  // the clients begin their waves spread over this time
  int waves = 0;
  Milliseconds pause{0};  // from the beginning of one wave to that of the next
  std::size_t value_bytes = kValueBytes;  // of an answer
};

// A connection over which the gateway sends segments as over an Ethernet, not of the size of the loopback interface.
inline Socket connect_as_over_ethernet(const Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_MAXSEG, &kEthernetSegmentBytes, sizeof kEthernetSegmentBytes);
  const sockaddr_in native = address.native();
  if (connect(socket.fd(), reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) socket.close();
  return socket;
}

struct PipelineTotals {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> failed{0};
  std::atomic<int> not_run{0};  // the gateway ended the connection, and no worker had got the request
  std::atomic<int> overdue{0};  // no answer until the limit, on an open connection
  std::atomic<int> lost{0};     // the gateway ended the connection without an answer, after a worker had run the request

  std::string text() const {
    return "sent=" + std::to_string(sent) + " served=" + std::to_string(served) + " refused=" +
           std::to_string(refused) + " failed=" + std::to_string(failed) + " not_run=" + std::to_string(not_run) +
           " overdue=" + std::to_string(overdue) + " lost=" + std::to_string(lost);
  }
};

// A gateway with eight workers, and clients that pipeline their requests in waves.
class PipelineDay {
 public:
  PipelineDay(Record& record, const PipelinePlan& plan) : plan_(plan), record_(record) {
    std::vector<Worker> workers;
    for (int i = 0; i < kWorkers; ++i) {
      servers_.push_back(std::make_unique<Server>([this, i](Server& server, Socket socket) {
        serve_commands(server, socket, [this, i](const Words& words) { return serve(i, words); });
      }));
      workers.push_back({"s-" + std::to_string(i), servers_.back()->address().text()});
    }
    const std::string list = worker_list(workers, 1);
    discovery_ = std::make_unique<Discovery>(list);
    settings_.objective_ms = kObjectiveMs;
    settings_.timeout_ms = kClientTimeoutMs;
    gateway_ = std::make_unique<Gateway>(
        settings_, GatewayAddresses{free_address("127.0.0.10"), discovery_->address(), counter_.address(), free_udp_address()},
        list, work_directory(), "n0");
  }
  ~PipelineDay() { stop(); }
  PipelineDay(const PipelineDay&) = delete;
  PipelineDay& operator=(const PipelineDay&) = delete;

  Gateway& gateway() { return *gateway_; }
  Record& record() { return record_; }
  const Settings& settings() const { return settings_; }
  const PipelineTotals& totals() const { return totals_; }
  bool stopping() const { return stopping_; }

  // Plays the waves, or ends earlier when `interrupted` returns true.
  void play(const std::function<bool()>& interrupted) {
    for (int i = 0; i < plan_.clients; ++i) threads_.emplace_back([this, i] { run_client(i); });
    for (int wave = 1; wave <= plan_.waves && !interrupted(); ++wave) {
      wave_ = wave;
      const auto end = Clock::now() + plan_.pause;
      while (Clock::now() < end && !interrupted()) std::this_thread::sleep_for(kPollInterval);
    }
    stop();
  }

 private:
  struct Open {
    std::string id;
    Clock::time_point sent_at;
  };

  void stop() {
    stopping_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }

  std::string serve(int worker, const Words& words) {
    if (words[0] == "PING") return "+PONG\r\n";
    {
      const std::lock_guard lock(mutex_);
      run_.insert(words[2]);
    }
    record_.line("worker %d: run id=%s", worker, words[2].c_str());
    std::this_thread::sleep_for(words[0] == "CALL.POST" ? kOrderTime : kLookupTime);
    return served(std::string(plan_.value_bytes, 'v'));
  }
  bool was_run(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    return run_.count(id) > 0;
  }

  void run_client(int client) {
    for (int played = 0; !stopping_;) {
      if (wave_ == played) {
        std::this_thread::sleep_for(kPollInterval);
        continue;
      }
      played = wave_;
      std::this_thread::sleep_for(plan_.spread * client / plan_.clients);
      const std::string prefix = "p" + std::to_string(client) + "-" + std::to_string(played) + "-";
      with_trouble() ? play_wave(prefix) : play_wave_one_by_one(prefix);
    }
  }

  // Sends the chunks of a wave on a new connection and reads all answers as soon as they come.
  void play_wave(const std::string& prefix) {
    const Socket socket = connect_as_over_ethernet(gateway_->address());
    std::deque<Open> open;
    std::string bytes;
    bool connected = socket.is_open();
    int sent_chunks = 0;
    auto next_chunk = Clock::now();
    while (connected && !stopping_ && (sent_chunks < plan_.chunks || !open.empty())) {
      if (sent_chunks < plan_.chunks && Clock::now() >= next_chunk) {
        connected = send_chunk(socket, prefix, sent_chunks++, open);
        next_chunk += plan_.step;
      }
      connected = connected && socket.receive(bytes, kPollInterval);
      take_answers(bytes, open);
      if (!open.empty() && Clock::now() > open.front().sent_at + Milliseconds(kClientTimeoutMs) + kAnswerSlack) break;
    }
    if (!stopping_) record_unanswered(open, connected);
  }

  // Sends a command and waits for its answer before the next one, as long as the wave lasts.
  void play_wave_one_by_one(const std::string& prefix) {
    const Socket socket = connect_as_over_ethernet(gateway_->address());
    std::string bytes;
    bool connected = socket.is_open();
    const int wave = wave_;
    for (int i = 0; i < plan_.chunks * plan_.commands && connected && wave_ == wave && !stopping_; ++i) {
      std::deque<Open> open;
      open.push_back({prefix + std::to_string(i), Clock::now()});
      ++totals_.sent;
      connected = socket.send(request_text(i == 0 ? "order" : "lookup", open.back().id, kClientTimeoutMs));
      const auto limit = Clock::now() + Milliseconds(kClientTimeoutMs) + kAnswerSlack;
      while (connected && !open.empty() && !stopping_ && Clock::now() < limit) {
        connected = socket.receive(bytes, kPollInterval);
        take_answers(bytes, open);
      }
      if (!stopping_) record_unanswered(open, connected);
    }
  }

  bool send_chunk(const Socket& socket, const std::string& prefix, int chunk, std::deque<Open>& open) {
    std::string text;
    for (int i = 0; i < plan_.commands; ++i) {
      open.push_back({prefix + std::to_string(chunk * plan_.commands + i), Clock::now()});
      const bool is_order = chunk == 0 && i == 0;
      text += request_text(is_order ? "order" : "lookup", open.back().id, kClientTimeoutMs);
      ++totals_.sent;
    }
    record_.line("sent %d commands, the last one id=%s", plan_.commands, open.back().id.c_str());
    return socket.send(text);
  }

  void take_answers(std::string& bytes, std::deque<Open>& open) {
    while (!open.empty()) {
      const auto answer = take_answer(bytes);
      if (!answer) return;
      const bool refused = answer->rfind("-BUSY", 0) == 0;
      ++((*answer)[0] == '$' ? totals_.served : refused ? totals_.refused : totals_.failed);
      record_.line("id=%s answer='%.12s'", open.front().id.c_str(), answer->c_str());
      open.pop_front();
    }
  }

  void record_unanswered(const std::deque<Open>& open, bool connected) {
    for (const Open& request : open) {
      const bool run = was_run(request.id);
      ++(connected ? totals_.overdue : run ? totals_.lost : totals_.not_run);
      const char* what = connected ? "overdue" : run ? "LOST: run, and its connection ended without the answer" : "not run";
      record_.line("id=%s %s", request.id.c_str(), what);
    }
  }

  PipelinePlan plan_;
  Record& record_;
  PipelineTotals totals_;
  Settings settings_;
  mutable std::mutex mutex_;
  std::set<std::string> run_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> wave_{0};
  Counter counter_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<Gateway> gateway_;
  std::vector<std::thread> threads_;
};

}  // namespace review
