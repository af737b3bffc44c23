// Starts one gatekeeper and ends it on SIGTERM or SIGINT.
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <exception>

#include "net/gatekeeper.hpp"
#include "net/log.hpp"

namespace {

using namespace ironquay::net;

class Signals : Loop::Handler {
 public:
  Signals(Loop& loop, std::function<void()> end) : loop_(loop), end_(std::move(end)) {
    sigset_t which;
    sigemptyset(&which);
    sigaddset(&which, SIGTERM);
    sigaddset(&which, SIGINT);
    sigprocmask(SIG_BLOCK, &which, nullptr);
    fd_ = Fd(signalfd(-1, &which, SFD_NONBLOCK | SFD_CLOEXEC));
    token_ = loop.watch(fd_.get(), *this);
  }
  ~Signals() override { loop_.drop(token_); }

 private:
  void ready(std::uint32_t) override {
    signalfd_siginfo info;
    while (read(fd_.get(), &info, sizeof info) == sizeof info) end_();
  }
  Loop& loop_;
  std::function<void()> end_;
  Fd fd_;
  Loop::Token token_ = 0;
};

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Loop loop;
    Told told = read_config();
    const std::string name = told.name, at = text_of(told.listen);
    Gatekeeper gatekeeper(loop, std::move(told));
    Signals signals(loop, [&] {
      log("drain name=%s", name.c_str());
      gatekeeper.drain();
    });
    log("ready name=%s listen=%s", name.c_str(), at.c_str());
    loop.run();
    log("over name=%s", name.c_str());
    return 0;
  } catch (const std::exception& error) {
    log("cannot go on: %s", error.what());
    return 1;
  }
}
