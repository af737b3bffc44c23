#include "list.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "log.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

// An empty line comes every 2 s: three of them missing is no sign of life.
constexpr Span kSilence = 6s;
// Pauses between connections double from the first to the second. Discovery has a second's worth to say at
// most.
constexpr Span kFirstPause = 100ms, kLongestPause = 2s;
// A list of ten thousand workers has some two megabytes.
constexpr std::size_t kMostLine = 16 * 1024 * 1024;

template <typename T>
T value_or(const Json& from, const char* key, T otherwise) {
  const auto found = from.find(key);
  if (found == from.end()) return otherwise;
  if constexpr (std::is_same_v<T, std::string>)
    return found->is_string() ? found->get<T>() : otherwise;
  else if constexpr (std::is_same_v<T, bool>)
    return found->is_boolean() ? found->get<T>() : otherwise;
  else
    return found->is_number() ? found->get<T>() : otherwise;
}

}  // namespace

List::List(Loop& loop, const Address& address, Listener& listener)
    : loop_(loop),
      address_(address),
      listener_(listener),
      silence_(loop, [this] { no_sign(); }),
      again_(loop, [this] { watch(); }) {}

void List::known(const Json& list) {
  if (!list.is_null() && !read(list, true)) log("known list is unreadable");
}

void List::refresh() {
  version_ = -1;
  if (stream_) end("refresh");
  watch();
}

// Versions may be counted anew there, so the whole list is asked for.
void List::move_to(const Address& address) {
  if (same(address, address_)) return;
  version_ = -1;
  if (stream_) end("moved");
  address_ = address;
  pause_ = Span(0);
  watch();
}

void List::watch() {
  if (stream_) return;
  again_.stop();
  Fd fd = connect_to(address_);
  if (!fd) return again_.in(kLongestPause);
  answer_ = http::Answer();
  line_.clear();
  lines_ = 0;
  bad_ = false;
  stream_ = std::make_unique<Stream>(loop_, std::move(fd), *this, false);
  std::string path = "/discovery/hosts?watch=1";
  if (version_ >= 0) path += "&from=" + std::to_string(version_);
  stream_->write({http::get(path, text_of(address_))});
  silence_.in(kSilence);
}

void List::no_sign() {
  if (stream_) end("silent");
}

void List::ready(std::uint32_t events) {
  if (!stream_) return;
  if (!stream_->wake(events)) {
    if (stream_->end() != End::open) end("refused");
    return;
  }
  stream_->read(events, [&](std::string_view bytes) {
    silence_.in(kSilence);
    return answer_.take(bytes, [&](std::string_view piece) {
      for (auto stop = piece.find('\n'); stop != std::string_view::npos; stop = piece.find('\n')) {
        line_.empty() ? line(piece.substr(0, stop)) : line(line_.append(piece.substr(0, stop)));
        line_.clear();
        piece.remove_prefix(stop + 1);
      }
      line_.append(piece);
      bad_ = bad_ || line_.size() > kMostLine;
    });
  });
  if (!stream_) return;
  if (bad_ || answer_.stage() == http::Answer::Stage::malformed) return end("bad-answer");
  if (answer_.status() != 0 && answer_.status() != 200) return end("bad-status");
  if (answer_.stage() == http::Answer::Stage::whole) return end("watch-over");
  if (stream_->over(events)) end(stream_->end() == End::peer_closed ? "list-eof" : "list-reset");
}

void List::line(std::string_view text) {
  if (answer_.status() != 200 || text.find_first_not_of(" \r\t") == std::string_view::npos) return;
  if (!read(Json::parse(text, nullptr, false), false)) bad_ = true;
  ++lines_;
  pause_ = Span(0);
}

// False where it is no list; an entry that cannot be read is passed over.
bool List::read(const Json& list, bool cached) {
  if (!list.is_object() || !list.contains("hosts") || !list["hosts"].is_array()) return false;
  version_ = value_or<std::int64_t>(list, "seq", version_);
  const bool whole = value_or(list, "whole", false);
  listener_.list_opened(cached ? ListKind::cached : whole ? ListKind::whole : ListKind::changes);
  for (const Json& one : list["hosts"]) {
    if (!one.is_object()) continue;
    const std::string host = value_or<std::string>(one, "host", ""),
                      dial = value_or<std::string>(one, "dial", "");
    const std::string health = value_or<std::string>(one, "health", "");
    const auto address = parse_address(dial);
    // What is not said to be in service gets nothing new.
    const Phase phase = health == "in_service"   ? Phase::ready
                        : health == "terminated" ? Phase::gone
                                                 : Phase::draining;
    if (host.empty() || (!address && phase == Phase::ready)) {
      log("list entry passed over host='%s' dial='%s'", host.c_str(), dial.c_str());
      continue;
    }
    listener_.worker_named(host, address.value_or(Address{}), phase, value_or<std::string>(one, "site", ""),
                           value_or<std::int64_t>(one, "block", 0), value_or(one, "share", 1.0),
                           Span(static_cast<std::int64_t>(value_or(one, "born_ms", 0.0) * 1000)));
  }
  listener_.list_closed();
  return true;
}

void List::end(const char* reason) {
  log("end peer=list addr=%s reason=%s lines=%zu version=%lld", text_of(address_).c_str(), reason, lines_,
      static_cast<long long>(version_));
  stream_->close();
  buried_ = std::move(stream_);
  silence_.stop();
  pause_ = std::clamp<Span>(2 * pause_, kFirstPause, kLongestPause);
  again_.in(pause_);
}

}  // namespace ironquay::net
