#include "counter.hpp"

#include <algorithm>
#include <charconv>

#include "log.hpp"
#include "resp.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// A PING after so long without an answer to wait for: the counter closes a connection idle for some 10 s.
constexpr Span kBeat = 2s;
// A connection with nothing heard for so long while answers are due is given up. A crowded counter works on
// in turn and is heard of; one that vanished leaves the connection open for ever.
constexpr Span kSilence = 1s;
// Between a connection's end and the next, doubling while none comes up. The longest is a quarter of the
// pause that the decisions make at most, so that the counter is there again when they ask.
constexpr Span kFirstPause = 100ms, kLongestPause = 1s;

}  // namespace

Counter::Counter(Loop& loop, const Address& address, Span limit, Listener& listener)
    : loop_(loop),
      address_(address),
      limit_(limit),
      listener_(listener),
      over_(loop, [this] { look(); }),
      beat_(loop, [this] { ping(); }),
      again_(loop, [this] { connect(); }) {
  connect();
}

void Counter::connect() {
  if (stream_) return;
  Fd fd = connect_to(address_);
  if (!fd) return try_later();
  written_ = answers_ = 0;
  bad_ = false;
  heard_ = loop_.now();
  stream_ = std::make_unique<Stream>(loop_, std::move(fd), *this, false);
  beat_.in(kBeat);
  over_.in(limit_);
}

void Counter::count(std::string_view name, double amount, Span lives) {
  if (!stream_) return listener_.count_ended(name, Outcome::no_route, 0);
  char digits[400];
  const auto end = std::to_chars(digits, digits + sizeof digits, amount, std::chars_format::fixed);
  const auto life = std::max<long>(1, std::chrono::ceil<std::chrono::milliseconds>(lives).count());
  std::string text;
  resp::append_count(text, 4);
  resp::append_word(text, "CNT.ADD");
  resp::append_word(text, name);
  resp::append_word(text, std::string_view(digits, static_cast<std::size_t>(end.ptr - digits)));
  resp::append_word(text, std::to_string(life));
  write({std::string(name), loop_.now() + limit_, 0, false}, text);
}

void Counter::write(Call call, std::string_view text) {
  if (calls_.empty()) heard_ = loop_.now();
  written_ += text.size();
  call.end = written_;
  calls_.push_back(std::move(call));
  if (!over_.set()) over_.at(calls_.back().due);
  stream_->write({text});
}

void Counter::ping() {
  if (!stream_) return;
  if (stream_->up() && calls_.empty())
    write({std::string(), loop_.now() + limit_, 0, true}, "*1\r\n$4\r\nPING\r\n");
  if (!calls_.empty() && loop_.now() - heard_ > kSilence) return end("silent");
  beat_.in(calls_.empty() ? kBeat : kSilence / 4);
}

// Calls whose limit has passed end as timed out; their places in the line stay.
void Counter::look() {
  const Span now = loop_.now();
  // Not up by now: the calls were never written, and must not be added when nobody waits for them any more.
  if (stream_ && !stream_->up()) return end("no-connection");
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    if (calls_[i].over) continue;
    if (calls_[i].due > now) return over_.at(calls_[i].due);
    calls_[i].over = true;
    listener_.count_ended(std::string(calls_[i].name), Outcome::timed_out, 0);
  }
}

void Counter::ready(std::uint32_t events) {
  if (!stream_) return;
  if (!stream_->wake(events)) {
    if (stream_->end() != End::open) end("refused");
    return;
  }
  pause_ = Span(0);
  stream_->read(events, [&](std::string_view bytes) { return take(bytes); });
  if (!stream_) return;
  if (bad_) return end("bad-answer");
  if (stream_->over(events)) end(stream_->end() == End::peer_closed ? "counter-eof" : "counter-reset");
}

std::size_t Counter::take(std::string_view bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    resp::Reply reply;
    const resp::Parsed how = resp::parse_reply(bytes.substr(at), reply);
    if (how == resp::Parsed::partial) break;
    if (how == resp::Parsed::malformed || calls_.empty()) {
      bad_ = true;
      return bytes.size();
    }
    at += reply.bytes;
    heard_ = loop_.now();
    ++answers_;
    const Call call = std::move(calls_.front());
    calls_.pop_front();
    if (call.over) continue;
    double total = 0;
    const char* last = reply.text.data() + reply.text.size();
    const bool added =
        reply.type == '$' && !reply.null && std::from_chars(reply.text.data(), last, total).ec == std::errc();
    // Any error line tells that nothing was added.
    listener_.count_ended(call.name,
                          added               ? Outcome::passed
                          : reply.type == '-' ? Outcome::no_room
                                              : Outcome::cut,
                          total);
  }
  return at;
}

void Counter::try_later() {
  pause_ = std::clamp<Span>(2 * pause_, kFirstPause, kLongestPause);
  again_.in(pause_);
}

void Counter::end(const char* reason) {
  log("end peer=counter addr=%s reason=%s answers=%zu out=%zu", text_of(address_).c_str(), reason, answers_,
      calls_.size());
  const std::size_t sent = stream_->up() ? written_ - stream_->unwritten() : 0;
  stream_->close();
  try_later();
  beat_.stop();
  over_.stop();
  std::deque<Call> ended = std::move(calls_);
  calls_.clear();
  buried_ = std::move(stream_);
  for (const Call& call : ended)
    if (!call.over) listener_.count_ended(call.name, call.end <= sent ? Outcome::cut : Outcome::no_route, 0);
}

}  // namespace ironquay::net
