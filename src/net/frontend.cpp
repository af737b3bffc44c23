#include "net/frontend.hpp"

#include <utility>

namespace ironquay::net {

Frontend::Frontend(EventLoop& loop, const Address& address, const DecodedSettings& settings,
                   std::size_t max_connections, std::size_t memory_limit_bytes, Listener& listener)
    : context_(loop, settings, listener, max_connections, memory_limit_bytes),
      acceptor_(context_, address),
      drain_(context_, acceptor_) {}

void Frontend::start_accepting() {
  if (!context_.drain.is_draining) acceptor_.start();
}

void Frontend::drain(std::function<void()> on_drained) { drain_.begin(std::move(on_drained)); }

}  // namespace ironquay::net
