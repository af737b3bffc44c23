// Decides for how long a gateway processes the input of clients before it turns to other work, so that a
// client that sends at full speed delays neither other clients nor responses and timers.
#pragma once
#include <cstddef>

#include "policy/settings.hpp"

namespace ironquay {

class InputScheduling {
 public:
  // `max_clients`: the number of client connections that the gateway may have.
  InputScheduling(const PolicySettings& settings, std::size_t max_clients);

  // How long the input of one connection may be processed while other connections wait. If all connections
  // use their turns fully, each one's next turn comes within a small part of the shortest client timeout.
  Duration turn() const { return turn_; }
  // How long the input of all connections may be processed while events and timers wait. It equals the
  // granularity of the clock with which deadlines are computed.
  Duration round() const { return round_; }

 private:
  Duration turn_{0};
  Duration round_{0};
};

}  // namespace ironquay
