#include "net/client_turns.hpp"

#include "net/client_connection.hpp"

namespace ironquay::net {

ClientTurns::ClientTurns(EventLoop& loop, RequestRegistry& requests, const InputScheduling& scheduling)
    : loop_(loop), requests_(requests), scheduling_(scheduling) {
  loop_.set_background_work(this);
}

ClientTurns::~ClientTurns() { loop_.set_background_work(nullptr); }

void ClientTurns::enqueue(ClientConnection& connection) {
  if (connection.turn_position) return;
  connection.turn_position = queue_.insert(queue_.end(), &connection);
}

void ClientTurns::remove(ClientConnection& connection) {
  if (!connection.turn_position) return;
  queue_.erase(*connection.turn_position);
  connection.turn_position.reset();
}

void ClientTurns::run() {
  const Duration round_end = loop_.precise_now() + scheduling_.round();
  while (!queue_.empty() && loop_.precise_now() < round_end) {
    ClientConnection& connection = *queue_.front();
    remove(connection);
    turn_end_ = loop_.precise_now() + scheduling_.turn();
    if (connection.take_turn()) enqueue(connection);
  }
  requests_.release_finished();
}

}  // namespace ironquay::net
