#include "net/connection_table.hpp"

#include <iterator>
#include <utility>

#include "net/client_connection.hpp"

namespace ironquay::net {

ConnectionTable::ConnectionTable() = default;
ConnectionTable::~ConnectionTable() = default;

void ConnectionTable::add(std::unique_ptr<ClientConnection> connection) {
  active_.push_back(std::move(connection));
  active_.back()->table_position = {std::prev(active_.end()), false};
}

void ConnectionTable::mark_used(ClientConnection& connection) {
  active_.splice(active_.end(), active_, connection.table_position.iterator);
}

void ConnectionTable::move_to_lingering(ClientConnection& connection) {
  lingering_.splice(lingering_.end(), active_, connection.table_position.iterator);
  connection.table_position.is_lingering = true;
}

std::unique_ptr<ClientConnection> ConnectionTable::remove(ClientConnection& connection) {
  const Position position = connection.table_position;
  List& list = position.is_lingering ? lingering_ : active_;
  std::unique_ptr<ClientConnection> removed = std::move(*position.iterator);
  list.erase(position.iterator);
  return removed;
}

std::vector<ClientConnection*> ConnectionTable::active_snapshot() const {
  std::vector<ClientConnection*> connections;
  for (const auto& connection : active_) connections.push_back(connection.get());
  return connections;
}

}  // namespace ironquay::net
