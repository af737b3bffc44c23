// One watch of the endpoint list: an HTTP request to discovery whose response continues for as long as the
// watch lasts. The response carries a JSON object for each change, and a line as a heartbeat at regular
// intervals.
#pragma once
#include <cstdint>
#include <string_view>

#include "net/event_loop.hpp"
#include "net/http_response_parser.hpp"
#include "net/json_splitter.hpp"
#include "net/socket.hpp"
#include "net/tcp_stream.hpp"

namespace ironquay::net {

// Why a watch ended.
enum class WatchCloseReason {
  connect_refused,
  response_timed_out,
  malformed_response,
  unexpected_status,  // the HTTP status was not 200
  response_complete,  // the server ended the response, although the watch should continue
  closed_by_server,
  reset_by_server,
  superseded,       // this watch was active, and another one has become active
  redundant,        // another watch has responded first
  refreshed,        // a new watch requests the full list
  address_changed,  // the configured address of discovery has changed
};
// Returns the reason code that is written to the log.
const char* to_string(WatchCloseReason reason);

class DiscoveryWatch : public EventLoop::Handler {
 public:
  // Receives what the watch reads. Each of the calls may close the watch; on_watch_end() must close it.
  class Owner {
   public:
    virtual ~Owner() = default;
    // A complete JSON object; the view is valid during the call.
    virtual void on_watch_object(DiscoveryWatch& watch, std::string_view text) = 0;
    // A line ended between two objects, which shows that the server is alive.
    virtual void on_watch_heartbeat(DiscoveryWatch& watch) = 0;
    // The watch has failed or its response has ended.
    virtual void on_watch_end(DiscoveryWatch& watch, WatchCloseReason reason) = 0;
  };

  // `fd` is a socket that is connecting to `address`. The watch requests the changes since `version`, or all
  // endpoints if `version` is negative.
  DiscoveryWatch(EventLoop& loop, const Address& address, FileDescriptor fd, std::int64_t version,
                 Owner& owner);

  // Closes the connection and logs its end. `version` is the latest version known, for the log line.
  void close(WatchCloseReason reason, std::int64_t version);
  const Address& address() const { return address_; }
  Duration opened_at() const { return opened_at_; }

 private:
  void on_events(std::uint32_t events) override;
  void on_body(std::string_view bytes);

  Owner& owner_;
  Address address_;
  Duration opened_at_;
  TcpStream stream_;
  HttpResponseParser response_parser_;
  JsonSplitter splitter_;
  std::size_t objects_ = 0;  // number of JSON objects received
  bool malformed_ = false;
  bool closed_ = false;
};

}  // namespace ironquay::net
