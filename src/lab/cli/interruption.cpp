#include "lab/cli/interruption.hpp"

#include <csignal>

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

// The interval at which RunLimit checks whether the time is over or a signal was received.
constexpr Duration kCheckInterval = 100ms;

std::atomic<bool> interrupted = false;

void on_signal(int) { interrupted = true; }

}  // namespace

const std::atomic<bool>& interruption_flag() {
  std::signal(SIGINT, on_signal);
  std::signal(SIGTERM, on_signal);
  return interrupted;
}

RunLimit::RunLimit(net::EventLoop& loop, Duration duration)
    : loop_(loop),
      end_(loop.now() + duration),
      interrupted_(interruption_flag()),
      timer_(loop, [this] { check(); }) {
  check();
}

void RunLimit::check() {
  if (interrupted_ || loop_.now() >= end_) return loop_.stop();
  timer_.expire_after(kCheckInterval);
}

}  // namespace ironquay::lab
