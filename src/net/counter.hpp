// The counter service: calls written one behind another on one connection, answered in that order.
#pragma once
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "loop.hpp"
#include "socket.hpp"
#include "state.hpp"
#include "stream.hpp"

namespace ironquay::net {

class Counter : public Loop::Handler {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // May come from within count().
    virtual void count_ended(std::string_view name, Outcome outcome, double total) = 0;
  };

  Counter(Loop& loop, const Address& address, Span limit, Listener& listener);
  void count(std::string_view name, double amount, Span lives);

 private:
  struct Call {
    std::string name;  // none: a PING of ours
    Span due{0};
    std::size_t end = 0;  // of its bytes among all that were written on this connection
    bool over = false;    // its limit has passed; a late answer is its own all the same
  };

  void ready(std::uint32_t events) override;
  std::size_t take(std::string_view bytes);
  void write(Call call, std::string_view text);
  void connect();
  void end(const char* reason);
  void look();
  void try_later();
  void ping();

  Loop& loop_;
  Address address_;
  Span limit_;
  Listener& listener_;
  std::unique_ptr<Stream> stream_;
  std::unique_ptr<Stream> buried_;  // the one before, which may be what is being read
  std::deque<Call> calls_;
  std::size_t written_ = 0;  // or waiting to be, on this connection
  std::size_t answers_ = 0;
  bool bad_ = false;
  Span pause_{0};
  Span heard_{0};
  Timer over_;
  Timer beat_;
  Timer again_;
};

}  // namespace ironquay::net
