// Keeps the endpoint list up to date. It starts from the cached list, then watches discovery, and opens
// another watch whenever the active one ends or becomes inactive.
#pragma once
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string_view>
#include <vector>

#include "net/discovery_watch.hpp"
#include "net/endpoint_list.hpp"
#include "net/event_loop.hpp"
#include "net/socket.hpp"
#include "net/timer.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// Where discovery runs. Requests to an agent on the same machine are cheap. A service that all gateways share
// gets fewer requests, and the gateways send theirs at different times.
enum class DiscoveryKind { local_agent, shared_service };

class EndpointDiscovery : DiscoveryWatch::Owner {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // A list begins. Its entries are reported next, and then its end.
    virtual void on_endpoint_list_begin(EndpointListKind kind) = 0;
    virtual void on_endpoint(const Endpoint& endpoint) = 0;
    virtual void on_endpoint_list_end() = 0;
    // Discovery has responded for the first time.
    virtual void on_first_response() = 0;
  };

  // `seed` seeds the generator of the jitter of startup and retry delays.
  EndpointDiscovery(EventLoop& loop, const Address& address, DiscoveryKind kind, std::uint32_t seed,
                    Listener& listener);

  // Reports the endpoints of a list that was stored before this gateway started. Does nothing if the list is
  // null.
  void load_cached(const nlohmann::json& list);
  // Starts to watch for changes since the last version that is known. Watching goes on until the program
  // ends.
  void start();
  // Closes all watches and requests the full list.
  void refresh();
  // Opens a watch at another address. The active watch is kept until the new address has responded.
  void set_address(const Address& address);

 private:
  void on_watch_object(DiscoveryWatch& watch, std::string_view text) override;
  void on_watch_heartbeat(DiscoveryWatch& watch) override;
  void on_watch_end(DiscoveryWatch& watch, WatchCloseReason reason) override;

  void open_watch();
  void on_watch_event(DiscoveryWatch& watch);
  void activate(DiscoveryWatch& watch);
  void close_pending_watches(WatchCloseReason reason, const DiscoveryWatch* except = nullptr);
  void remove_watch(DiscoveryWatch& watch);
  void schedule_retry();
  void on_watch_idle_timeout();
  void on_watch_response_timeout();
  bool report_list(const nlohmann::json& json, bool cached);
  Duration with_jitter(Duration mean);
  bool is_local() const { return kind_ == DiscoveryKind::local_agent; }

  EventLoop& loop_;
  Address address_;
  DiscoveryKind kind_;
  Listener& listener_;
  std::unique_ptr<DiscoveryWatch> active_watch_;                  // the watch that has responded, or null
  std::vector<std::unique_ptr<DiscoveryWatch>> pending_watches_;  // watches without a response, oldest first
  std::int64_t version_ = -1;   // version of the last list from address_; negative if there is none
  bool has_responded_ = false;  // whether a watch has responded since startup
  Duration backoff_{0};         // mean of the latest retry delay; 0 after a response
  std::ranlux24_base random_;   // the generator of the jitter
  Timer idle_timer_;            // fires when the active watch becomes inactive
  Timer response_timer_;        // fires when no pending watch has responded in time
  Timer retry_timer_;           // fires when the next watch must be opened
};

}  // namespace ironquay::net
