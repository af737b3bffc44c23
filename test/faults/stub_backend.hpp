// Workers, the counter service and discovery in one thread of the test. The workers answer after a service
// time and record the attempts that they receive.
#pragma once
#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "../net/support/messages.hpp"
#include "../net/support/settings.hpp"
#include "../net/support/test_server.hpp"

namespace ironquay::net {

/// An attempt that a worker has received whole.
struct ReceivedAttempt {
  std::string id;  // the request's id
  std::size_t worker = 0;
  Clock::time_point at;
  Milliseconds told{0};  // the deadline that the gateway told the worker
};

class StubBackend {
 public:
  StubBackend(std::size_t workers, Milliseconds service_time);
  ~StubBackend();
  StubBackend(const StubBackend&) = delete;
  StubBackend& operator=(const StubBackend&) = delete;

  std::string counter_address() const { return counter_.address(); }
  std::string discovery_address() const { return discovery_.address(); }
  /// The complete list of workers.
  Json endpoint_list() const;
  /// Reports a change of one worker to all watches. A `born_ms` other than zero is the start of its process.
  void set_worker(std::size_t worker, const char* health, std::int64_t born_ms = 0);

  /// While the workers hang, they receive attempts and answer none.
  void set_hanging(bool hanging) { hanging_ = hanging; }
  /// Breaks this many of the next attempts when they are received: the worker closes the connection.
  void break_attempts(int count) { attempts_to_break_ = count; }
  std::vector<ReceivedAttempt> attempts() const;
  /// How many of the requests with these ids any worker has received.
  std::size_t received(const std::vector<std::string>& ids) const;

 private:
  enum class Role { worker, counter, discovery };
  struct Connection {
    FileDescriptor fd;
    Role role = Role::worker;
    std::size_t worker = 0;
    std::string input;
    std::string output;
    bool is_watch = false;
    bool broken = false;
  };
  struct DelayedReply {
    std::uint64_t connection = 0;
    std::string bytes;
  };
  struct Worker {
    TestServer server;
    std::string health = "in_service";
    std::int64_t born_ms = 0;
  };

  void run();
  void accept_from(const TestServer& server, Role role, std::size_t worker);
  void read_from(std::uint64_t id, Connection& connection);
  void process_input(std::uint64_t id, Connection& connection);
  void on_command(std::uint64_t id, Connection& connection, const std::vector<std::string>& words);
  void on_attempt(std::uint64_t id, Connection& connection, const std::vector<std::string>& words);
  std::string counter_reply(const std::vector<std::string>& words);
  void send_due_replies();
  void send_heartbeats();
  static void flush(Connection& connection);
  Json endpoint(std::size_t worker) const;
  std::string list_event(bool whole) const;

  std::vector<Worker> workers_;
  TestServer counter_;
  TestServer discovery_;
  Milliseconds service_time_;
  std::atomic<bool> running_ = true;
  std::atomic<bool> hanging_ = false;
  std::atomic<int> attempts_to_break_ = 0;
  mutable std::mutex mutex_;  // guards the endpoints, the events and the record of attempts
  int list_version_ = 1;
  std::vector<std::string> pending_events_;
  std::vector<ReceivedAttempt> attempts_;
  std::map<std::uint64_t, Connection> connections_;
  std::uint64_t last_connection_ = 0;
  std::multimap<Clock::time_point, DelayedReply> replies_;
  std::unordered_map<std::string, double> totals_;
  Clock::time_point next_heartbeat_ = Clock::now();
  std::thread thread_;
};

}  // namespace ironquay::net
