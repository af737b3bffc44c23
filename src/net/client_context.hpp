// State that the client connections of a gateway share.
#pragma once
#include <algorithm>
#include <cstddef>
#include <functional>

#include "config/settings_decoder.hpp"
#include "net/client_memory.hpp"
#include "net/client_turns.hpp"
#include "net/connection_limiter.hpp"
#include "net/connection_table.hpp"
#include "net/event_loop.hpp"
#include "net/request_listener.hpp"
#include "net/request_registry.hpp"
#include "policy/abandoned_requests.hpp"
#include "policy/read_progress.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// The part of the state of a graceful shutdown that connections depend on. Times are those of
// EventLoop::now().
struct DrainState {
  bool is_draining = false;
  Duration began_at{0};
  Duration response_deadline{0};  // the time by which every response must be written
  Duration linger_timeout{0};     // how long connections that are half-closed during the drain linger
};

// The state shared by the acceptor and all client connections. Not copyable or movable, because its members
// refer to each other.
struct ClientContext {
  ClientContext(EventLoop& event_loop, const DecodedSettings& decoded_settings,
                RequestListener& request_listener, std::size_t max_connections,
                std::size_t memory_limit_bytes)
      : loop(event_loop),
        settings(decoded_settings),
        listener(request_listener),
        memory{.limit_bytes = memory_limit_bytes,
               .connection_share_bytes = memory_limit_bytes / std::max<std::size_t>(max_connections, 1)},
        abandoned_requests(decoded_settings.policy_settings, memory_limit_bytes / kAbandonedRequestsDivisor),
        read_requirement(decoded_settings.policy_settings, memory.connection_share_bytes),
        limiter(event_loop, connections, memory, max_connections),
        turns(event_loop, requests, InputScheduling(decoded_settings.policy_settings, max_connections)) {}
  ~ClientContext() = default;
  ClientContext(const ClientContext&) = delete;
  ClientContext& operator=(const ClientContext&) = delete;

  // The part of the clients' memory in which abandoned requests are remembered.
  static constexpr std::size_t kAbandonedRequestsDivisor = 32;

  EventLoop& loop;
  const DecodedSettings& settings;
  RequestListener& listener;
  ClientMemory memory;
  DrainState drain;
  RequestRegistry requests;
  AbandonedRequests abandoned_requests;
  ConnectionTable connections;
  const ReadRequirement read_requirement;
  ConnectionLimiter limiter;
  ClientTurns turns;
  std::function<void()> on_connection_closed;  // called after a connection is closed; set by ClientAcceptor
};

}  // namespace ironquay::net
