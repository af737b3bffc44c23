#include "net/signal_handler.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

#include "net/system_call.hpp"

namespace ironquay::net {
namespace {

sigset_t handled_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  return signals;
}

FileDescriptor open_signal_descriptor() {
  const sigset_t signals = handled_signals();
  return FileDescriptor(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
}

}  // namespace

void block_handled_signals() {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = handled_signals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

SignalHandler::SignalHandler(EventLoop& loop, std::function<void(int)> on_signal)
    : loop_(loop),
      on_signal_(std::move(on_signal)),
      fd_(open_signal_descriptor()),
      token_(loop.watch(fd_.get(), *this)) {}

SignalHandler::~SignalHandler() { loop_.unwatch(token_); }

void SignalHandler::on_events(std::uint32_t /*events*/) {
  signalfd_siginfo info{};
  while (retry_interrupted([&] { return read(fd_.get(), &info, sizeof info); }) == sizeof info)
    on_signal_(static_cast<int>(info.ssi_signo));
}

}  // namespace ironquay::net
