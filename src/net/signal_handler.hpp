// Delivers the signals that a gateway handles as events of its event loop.
#pragma once
#include <functional>

#include "net/event_loop.hpp"
#include "net/socket.hpp"

namespace ironquay::net {

// Blocks SIGTERM, SIGINT and SIGHUP, so that a signal that arrives before a SignalHandler exists stays
// pending until then. Ignores SIGPIPE for the rest of the process's life.
void block_handled_signals();

class SignalHandler : EventLoop::Handler {
 public:
  // Calls `on_signal` with the number of each signal received. block_handled_signals() must have been called.
  SignalHandler(EventLoop& loop, std::function<void(int signal)> on_signal);
  ~SignalHandler() override;
  SignalHandler(const SignalHandler&) = delete;
  SignalHandler& operator=(const SignalHandler&) = delete;

 private:
  void on_events(std::uint32_t events) override;

  EventLoop& loop_;
  std::function<void(int)> on_signal_;
  FileDescriptor fd_;
  EventLoop::Token token_;
};

}  // namespace ironquay::net
