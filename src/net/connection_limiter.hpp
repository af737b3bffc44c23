// Limits on client connections: their total number, their idle time, and the number of those that have
// carried requests.
#pragma once
#include <cstddef>

#include "net/client_memory.hpp"
#include "net/connection_table.hpp"
#include "net/event_loop.hpp"
#include "net/timer.hpp"

namespace ironquay::net {

class ConnectionLimiter {
 public:
  // Whether a new connection can be accepted.
  enum class Capacity {
    available,
    exhausted,      // no capacity until a connection closes or becomes idle
    pending_linger  // no capacity until a half-closed connection has lingered for kMinLinger; retry soon
  };

  // The references must outlive the limiter. `max_connections` is the limit on connections that are not
  // half-closed.
  ConnectionLimiter(EventLoop& loop, ConnectionTable& connections, const ClientMemory& memory,
                    std::size_t max_connections);

  // Returns whether a connection can be accepted. Evicts another connection if that is necessary.
  Capacity ensure_capacity();

  // Rejects incomplete commands, those that have waited for longest first, until the input is within its
  // limit or none is left.
  void reject_incomplete_commands();

  // These functions maintain the number of connections that have carried a request and are not closing. If an
  // added connection exceeds the limit on that number, an idle one is closed.
  void on_request_connection_added();
  void on_request_connection_removed() { --request_connections_; }

 private:
  ClientConnection* eviction_candidate() const;
  template <typename Predicate>
  ClientConnection* find_evictable(Predicate predicate) const;
  void check_connections();
  void end_slow_readers();
  void resume_paused_connections();
  void close_idle_connections();

  EventLoop& loop_;
  ConnectionTable& connections_;
  const ClientMemory& memory_;
  std::size_t max_connections_;
  std::size_t request_connections_ = 0;  // connections that have carried a request and are not closing
  Timer check_timer_;
};

}  // namespace ironquay::net
