// The client connections of a gateway, ordered by when they were last used.
#pragma once
#include <list>
#include <memory>
#include <vector>

namespace ironquay::net {

class ClientConnection;

// Owns the connections. A connection is active until the gateway half-closes it; from then on it is
// lingering.
class ConnectionTable {
 public:
  using List = std::list<std::unique_ptr<ClientConnection>>;
  // The position of a connection in the table. The connection stores it so that the table finds it in
  // constant time.
  struct Position {
    List::iterator iterator;
    bool is_lingering = false;
  };

  ConnectionTable();
  ~ConnectionTable();
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;

  void add(std::unique_ptr<ClientConnection> connection);
  // Makes an active connection the most recently used one.
  void mark_used(ClientConnection& connection);
  void move_to_lingering(ClientConnection& connection);
  // Removes the connection and passes its ownership to the caller.
  std::unique_ptr<ClientConnection> remove(ClientConnection& connection);

  bool empty() const { return active_.empty() && lingering_.empty(); }
  // The active connections, least recently used first.
  const List& active() const { return active_; }
  // The lingering connections, in the order in which they were half-closed.
  const List& lingering() const { return lingering_; }
  // A copy of the list of active connections, for loops that may close some of them. The pointers stay valid
  // for the current iteration of the event loop, because EventLoop::destroy_later() delays the destruction of
  // closed connections.
  std::vector<ClientConnection*> active_snapshot() const;

 private:
  List active_;
  List lingering_;
};

}  // namespace ironquay::net
