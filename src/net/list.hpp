// The list of workers: what was known at the start, then a watch on discovery.
#pragma once
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "http.hpp"
#include "loop.hpp"
#include "socket.hpp"
#include "state.hpp"
#include "stream.hpp"

namespace ironquay::net {

class List : public Loop::Handler {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void list_opened(ListKind kind) = 0;
    virtual void worker_named(std::string_view host, const Address& address, Phase phase,
                              std::string_view zone, std::int64_t cell, double share, Span started) = 0;
    virtual void list_closed() = 0;
  };

  List(Loop& loop, const Address& address, Listener& listener);
  void known(const nlohmann::json& list);
  void watch();    // from the last version heard of; goes on until the program ends
  void refresh();  // the same, with the whole list first
  void move_to(const Address& address);

 private:
  void ready(std::uint32_t events) override;
  void line(std::string_view text);
  bool read(const nlohmann::json& list, bool cached);
  void end(const char* reason);
  void no_sign();

  Loop& loop_;
  Address address_;
  Listener& listener_;
  std::unique_ptr<Stream> stream_;
  std::unique_ptr<Stream> buried_;  // the one before, which may be what is being read
  http::Answer answer_;
  std::string line_;
  std::int64_t version_ = -1;
  std::size_t lines_ = 0;
  bool bad_ = false;
  Span pause_{0};
  Timer silence_;
  Timer again_;
};

}  // namespace ironquay::net
