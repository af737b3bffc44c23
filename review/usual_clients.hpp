// The usual clients of the cases 8 and 9 and the three workers that serve them.
#pragma once
#include "harness.hpp"

namespace review {

constexpr auto kDuration = 14s;
constexpr int kRequestsPerSecond = 40;
constexpr int kClientTimeoutMs = 1000;  // `d` of the requests
constexpr int kRouteTimeoutMs = 1500;   // a client gives up after 50 to 100% of this
constexpr int kObjectiveMs = 600;
constexpr auto kServiceTime = 60ms;
// A final answer may come half a second after the request's time; each limit grows by 50 ms on sockets.
constexpr auto kAnswerSlack = 550ms;

struct Totals {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::atomic<int> refused_or_failed{0};
  std::atomic<int> closed{0};
  std::atomic<int> lost{0};
};

inline void record_result(const std::string& id, const ClientResult& result, Record& record, Totals& totals) {
  switch (result.ending) {
    case Ending::answered:
      ++(result.answer[0] == '$' ? totals.served : totals.refused_or_failed);
      return record.line("id=%s answer='%.12s' after_ms=%ld", id.c_str(), result.answer.c_str(), result.milliseconds);
    case Ending::closed:
      ++totals.closed;
      return record.line("id=%s closed twice without an answer, after_ms=%ld", id.c_str(), result.milliseconds);
    case Ending::overdue:
      ++totals.lost;
      return record.line("id=%s LOST: no answer, connection open, after_ms=%ld", id.c_str(), result.milliseconds);
  }
}

inline Server::Serve serve_requests(Record& record) {
  return [&record](Server& server, Socket socket) {
    serve_commands(server, socket, [&record](const Words& words) {
      if (words[0] == "PING") return std::string("+PONG\r\n");
      record.line("worker: run id=%s %s", words[2].c_str(), words[3].c_str());
      std::this_thread::sleep_for(kServiceTime);
      return served("value of " + words[2]);
    });
  };
}

inline void play_usual_clients(ConnectionPool& pool, Record& record, Totals& totals) {
  std::vector<std::thread> requests;
  const auto start = Clock::now();
  const int count = kRequestsPerSecond * static_cast<int>(kDuration.count());
  for (int i = 0; i < count; ++i) {
    std::this_thread::sleep_until(start + i * 1000ms / kRequestsPerSecond);
    requests.emplace_back([&, id = "u" + std::to_string(i)] {
      ++totals.sent;
      record.line("id=%s sent", id.c_str());
      const std::string text = request_text("lookup", id, kClientTimeoutMs);
      record_result(id, send_request(pool, text, Milliseconds(kClientTimeoutMs) + kAnswerSlack), record, totals);
    });
  }
  for (std::thread& request : requests) request.join();
}

// Plays usual clients at a gateway with three workers, beside `disruption`, and judges whether a request was lost.
inline int play_day(const std::string& record_path, const std::function<void(const Address&, Record&)>& disruption) {
  Record record(record_path);
  Counter counter;
  Server first(serve_requests(record));
  Server second(serve_requests(record));
  Server third(serve_requests(record));
  const std::string list = worker_list(
      {{"s-1", first.address().text()}, {"s-2", second.address().text()}, {"s-3", third.address().text()}}, 1);
  Discovery discovery(list);
  Settings settings;
  settings.objective_ms = kObjectiveMs;
  settings.timeout_ms = kRouteTimeoutMs;
  Gateway gateway(settings,
                  {free_address("127.0.0.10"), discovery.address(), counter.address(), free_udp_address()}, list,
                  work_directory(), "n0");
  if (!gateway.becomes_ready()) return kCouldNotRun;

  Totals totals;
  ConnectionPool pool(gateway.address());
  std::thread trouble;
  if (with_trouble()) trouble = std::thread([&] { disruption(gateway.address(), record); });
  play_usual_clients(pool, record, totals);
  if (trouble.joinable()) trouble.join();
  record.line("sent=%d served=%d refused_or_failed=%d closed=%d lost=%d", totals.sent.load(), totals.served.load(),
              totals.refused_or_failed.load(), totals.closed.load(), totals.lost.load());
  if (gateway.has_ended() || totals.served == 0) return kCouldNotRun;
  return totals.lost > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace review
