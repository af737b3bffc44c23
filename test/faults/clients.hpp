// Clients in threads of the test: good ones, whose requests are recorded, and ones that flood a gateway.
#pragma once
#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "../net/support/messages.hpp"
#include "../net/support/test_server.hpp"

namespace ironquay::net {

/// What became of a client's request.
enum class Answer { served, rejected, failed, wrong_value, closed, none };

/// What became of the requests of all good clients.
struct ClientTotals {
  int requests = 0;
  int served = 0;
  int rejected = 0;
  int failed = 0;
  int late = 0;         // answered within kLossGrace after the client's time
  int lost = 0;         // not answered kLossGrace after the client's time
  int wrong_value = 0;  // served with a value that no worker made for the request
  // Requests whose connection was closed without an answer. If the gateway has read them, they are lost.
  std::vector<std::string> closed_ids;
  std::unordered_map<std::string, Clock::time_point> sent_at;  // by the request's id
};
std::ostream& operator<<(std::ostream& out, const ClientTotals& totals);

/// A request that has no answer this long after its time is lost.
constexpr Milliseconds kLossGrace = 500ms;

/// How the good clients of a test behave.
struct ClientBehavior {
  std::size_t clients = 8;
  Milliseconds patience = 650ms;   // the time that each request may take
  Milliseconds think_time = 15ms;  // between an answer and the next request of the client
  int requests_per_connection = 20;
  int pipeline = 1;             // requests that are written at once
  std::size_t value_bytes = 0;  // size of the request's body; 0 sends a request without one
};

/// Clients that send requests one after another until stop().
class GoodClients {
 public:
  /// `prefix` distinguishes the ids of these requests from all others.
  GoodClients(const Address& gateway, std::string prefix, ClientBehavior behavior);
  ~GoodClients() { stop(); }
  GoodClients(const GoodClients&) = delete;
  GoodClients& operator=(const GoodClients&) = delete;
  /// Uses the open connections until they end, but opens no further ones.
  void stop_connecting() { may_connect_ = false; }
  /// Waits for the requests in flight. Returns the totals.
  ClientTotals stop();

 private:
  struct Pending {
    std::string id;
    Clock::time_point sent_at;
  };

  void run(std::size_t client);
  bool exchange_requests(TestConnection& connection, std::size_t client, int& sequence);
  std::string request_id(std::size_t client, int sequence) const;
  std::string request(const std::string& id) const;
  Answer receive_answer(TestConnection& connection, const Pending& pending) const;
  void record(Answer answer, const Pending& pending);

  Address gateway_;
  std::string prefix_;
  ClientBehavior behavior_;
  std::atomic<bool> running_ = true;
  std::atomic<bool> may_connect_ = true;
  std::mutex mutex_;
  ClientTotals totals_;
  std::vector<std::thread> threads_;
};

/// Clients that write many requests at once and close soon after, again and again until stop().
class LeavingClients {
 public:
  LeavingClients(const Address& gateway, std::size_t clients);
  ~LeavingClients() { stop(); }
  LeavingClients(const LeavingClients&) = delete;
  LeavingClients& operator=(const LeavingClients&) = delete;
  /// Returns the time of the close for each connection. The requests of connection N have ids that begin with
  /// request_prefix(N).
  std::vector<Clock::time_point> stop();
  static std::string request_prefix(std::size_t connection) {
    return "leave" + std::to_string(connection) + "-";
  }

 private:
  void run();

  Address gateway_;
  std::atomic<bool> running_ = true;
  std::mutex mutex_;
  std::vector<Clock::time_point> closed_at_;
  std::vector<std::thread> threads_;
};

/// Writes input as fast as the gateway reads it, on one connection or on a new one for each piece, until
/// stop(). Reads and discards what the gateway sends.
class FloodingClient {
 public:
  /// `next_input` returns the next piece of input. It is called from the client's thread.
  FloodingClient(const Address& gateway, std::function<std::string()> next_input,
                 bool new_connections = false);
  ~FloodingClient() { stop(); }
  FloodingClient(const FloodingClient&) = delete;
  FloodingClient& operator=(const FloodingClient&) = delete;
  void stop();

 private:
  void run();

  Address gateway_;
  std::function<std::string()> next_input_;
  bool new_connections_;
  std::atomic<bool> running_ = true;
  std::thread thread_;
};

}  // namespace ironquay::net
