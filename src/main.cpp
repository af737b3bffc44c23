// Starts one gatekeeper, reads its configuration again on SIGHUP, ends it on SIGTERM or SIGINT.
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
  Signals(Loop& loop, std::function<void(int)> heard) : loop_(loop), heard_(std::move(heard)) {
    sigset_t which;
    sigemptyset(&which);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&which, signal);
    sigprocmask(SIG_BLOCK, &which, nullptr);
    fd_ = Fd(signalfd(-1, &which, SFD_NONBLOCK | SFD_CLOEXEC));
    token_ = loop.watch(fd_.get(), *this);
  }
  ~Signals() override { loop_.drop(token_); }

 private:
  void ready(std::uint32_t) override {
    signalfd_siginfo info;
    while (read(fd_.get(), &info, sizeof info) == sizeof info) heard_(static_cast<int>(info.ssi_signo));
  }
  Loop& loop_;
  std::function<void(int)> heard_;
  Fd fd_;
  Loop::Token token_ = 0;
};

// A file that cannot be read changes nothing.
void reload(Gatekeeper& gatekeeper) {
  try {
    const Told told = read_config(Reading::again);
    log("reload discovery=%s counter=%s", text_of(told.discovery).c_str(),
        told.counter ? text_of(*told.counter).c_str() : "none");
    gatekeeper.reconfigure(told);
  } catch (const std::exception& error) {
    log("reload failed, the configuration before stands: %s", error.what());
  }
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Loop loop;
    Told told = read_config(Reading::at_start);
    const std::string name = told.name, at = text_of(told.listen);
    Gatekeeper gatekeeper(loop, std::move(told),
                          [&] { log("ready name=%s listen=%s", name.c_str(), at.c_str()); });
    Signals signals(loop, [&](int signal) {
      if (signal == SIGHUP) return reload(gatekeeper);
      log("drain name=%s", name.c_str());
      gatekeeper.drain();
    });
    loop.run();
    log("over name=%s", name.c_str());
    return 0;
  } catch (const std::exception& error) {
    log("cannot go on: %s", error.what());
    return 1;
  }
}
