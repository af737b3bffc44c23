// Processes the input of the client connections in turns.
#pragma once
#include <list>

#include "net/event_loop.hpp"
#include "net/request_registry.hpp"
#include "policy/input_scheduling.hpp"

namespace ironquay::net {

class ClientConnection;

// A queue of the connections that have input. Each iteration of the event loop takes connections from its
// front, until the round of InputScheduling is over. A connection that has input left after its turn goes to
// the end of the queue. The requests that have ended since the last iteration are destroyed as well.
class ClientTurns : EventLoop::BackgroundWork {
 public:
  using Queue = std::list<ClientConnection*>;

  // The loop and the registry must outlive the queue.
  ClientTurns(EventLoop& loop, RequestRegistry& requests, const InputScheduling& scheduling);
  ~ClientTurns() override;
  ClientTurns(const ClientTurns&) = delete;
  ClientTurns& operator=(const ClientTurns&) = delete;

  // Adds a connection to the end of the queue. Does nothing if it is queued already.
  void enqueue(ClientConnection& connection);
  // Removes a connection from the queue. Does nothing if it is not queued.
  void remove(ClientConnection& connection);
  // Whether the connection whose turn it is must stop processing input.
  bool turn_is_over() const { return loop_.precise_now() >= turn_end_; }

 private:
  bool has_work() const override { return !queue_.empty() || requests_.has_finished(); }
  void run() override;

  EventLoop& loop_;
  RequestRegistry& requests_;
  InputScheduling scheduling_;
  Queue queue_;
  Duration turn_end_{0};
};

}  // namespace ironquay::net
