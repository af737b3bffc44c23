#include "net/discovery_watch.hpp"

#include <string>

#include "net/log.hpp"

namespace ironquay::net {
namespace {

constexpr int kStatusOk = 200;

std::string watch_request(const Address& address, std::int64_t version) {
  std::string path = "/discovery/hosts?watch=1";
  if (version >= 0) path += "&from=" + std::to_string(version);
  return "GET " + path + " HTTP/1.1\r\nHost: " + to_string(address) + "\r\n\r\n";
}

}  // namespace

const char* to_string(WatchCloseReason reason) {
  switch (reason) {
    case WatchCloseReason::connect_refused:
      return "connection-refused";
    case WatchCloseReason::response_timed_out:
      return "response-timeout";
    case WatchCloseReason::malformed_response:
      return "malformed-response";
    case WatchCloseReason::unexpected_status:
      return "unexpected-status";
    case WatchCloseReason::response_complete:
      return "response-complete";
    case WatchCloseReason::closed_by_server:
      return "discovery-closed";
    case WatchCloseReason::reset_by_server:
      return "discovery-reset";
    case WatchCloseReason::superseded:
      return "superseded";
    case WatchCloseReason::redundant:
      return "redundant";
    case WatchCloseReason::refreshed:
      return "refresh";
    case WatchCloseReason::address_changed:
      return "address-changed";
  }
  return "";
}

DiscoveryWatch::DiscoveryWatch(EventLoop& loop, const Address& address, FileDescriptor fd,
                               std::int64_t version, Owner& owner)
    : owner_(owner), address_(address), opened_at_(loop.now()), stream_(loop, std::move(fd), *this, false) {
  stream_.write({watch_request(address_, version)});
}

void DiscoveryWatch::on_events(std::uint32_t events) {
  if (!stream_.make_progress(events)) {
    if (stream_.connection_end() != ConnectionEnd::none)
      owner_.on_watch_end(*this, WatchCloseReason::connect_refused);
    return;
  }
  stream_.read(events, [&](std::string_view bytes) {
    return response_parser_.consume(bytes, [&](std::string_view body) { on_body(body); });
  });
  if (closed_) return;
  if (malformed_ || response_parser_.stage() == HttpResponseParser::Stage::malformed)
    return owner_.on_watch_end(*this, WatchCloseReason::malformed_response);
  const int status = response_parser_.status();
  const bool is_interim = status / 100 == 1;
  if (status != 0 && !is_interim && status != kStatusOk)
    return owner_.on_watch_end(*this, WatchCloseReason::unexpected_status);
  if (response_parser_.stage() == HttpResponseParser::Stage::complete)
    return owner_.on_watch_end(*this, WatchCloseReason::response_complete);
  if (!stream_.has_ended(events)) return;
  const bool closed_by_server = stream_.connection_end() == ConnectionEnd::peer_closed;
  owner_.on_watch_end(
      *this, closed_by_server ? WatchCloseReason::closed_by_server : WatchCloseReason::reset_by_server);
}

void DiscoveryWatch::on_body(std::string_view bytes) {
  if (response_parser_.status() != kStatusOk || malformed_ || closed_) return;
  const auto on_object = [&](std::string_view text) {
    if (closed_) return;
    ++objects_;
    owner_.on_watch_object(*this, text);
  };
  const auto on_line = [&] {
    if (!closed_) owner_.on_watch_heartbeat(*this);
  };
  malformed_ = !splitter_.feed(bytes, on_object, on_line);
}

void DiscoveryWatch::close(WatchCloseReason reason, std::int64_t version) {
  closed_ = true;
  log("connection closed peer=discovery addr=%s reason=%s events=%zu version=%lld",
      to_string(address_).c_str(), to_string(reason), objects_, static_cast<long long>(version));
  stream_.close();
}

}  // namespace ironquay::net
