// The client side of the gateway without its other parts, on an event loop that the test runs.
#pragma once
#include <functional>
#include <vector>

#include "messages.hpp"
#include "net/frontend.hpp"
#include "net/timer.hpp"
#include "settings.hpp"
#include "test_server.hpp"

namespace ironquay::net {

/// A Frontend with a listener that records the requests. The listener's functions call the test's hooks, if
/// set. The Frontend makes progress only while the test runs the loop.
class FrontendFixture : public Frontend::Listener {
 public:
  explicit FrontendFixture(std::size_t max_connections = 25, int client_timeout_ms = 3000,
                           std::size_t memory_limit_bytes = kMaxBufferedBytes)
      : decoded_(decode_settings(settings(client_timeout_ms))),
        frontend(loop, address_, decoded_, max_connections, memory_limit_bytes, *this) {
    frontend.start_accepting();
  }

  void on_request(Exchange& exchange) override {
    exchange.id = ++request_count;
    received_time_left.push_back(exchange.time_left);
    if (request_hook) request_hook(exchange);
  }
  void on_client_disconnect(Exchange& exchange) override {
    ++disconnect_count;
    if (disconnect_hook) disconnect_hook(exchange);
  }
  void on_deadline_shortened(Exchange& exchange) override {
    ++shortened_deadline_count;
    shortened_time_left = exchange.time_left;
  }

  /// Starts a client connection.
  TestConnection connect() const { return TestConnection(connect_tcp(address_)); }
  const Address& address() const { return address_; }
  /// Runs the loop for `duration`, or until it is stopped.
  void run_for(Duration duration) {
    Timer timer(loop, [this] { loop.stop(); });
    timer.expire_after(duration);
    loop.run();
  }
  /// Runs the loop until the condition holds or kWaitTimeout has passed. Returns whether the condition holds.
  template <typename Condition>
  bool run_until(Condition condition) {
    for (Milliseconds waited{0}; waited < kWaitTimeout && !condition(); waited += kCheckInterval)
      run_for(kCheckInterval);
    return condition();
  }
  /// Runs the loop until at least `count` requests have been received in total.
  bool run_until_requests(std::size_t count) {
    return run_until([&] { return request_count >= count; });
  }

 private:
  static constexpr Milliseconds kCheckInterval = 5ms;
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 20;

  static Json settings(int client_timeout_ms) {
    Json settings = default_settings();
    set_client_timeout(settings, client_timeout_ms);
    settings["bounds"]["open_cap"] = 10000;
    return settings;
  }

  DecodedSettings decoded_;
  Address address_ = address_of(listen_tcp(any_port()));

 public:
  EventLoop loop;
  std::size_t request_count = 0;             // requests received
  std::size_t disconnect_count = 0;          // requests whose client disconnected before the response
  std::size_t shortened_deadline_count = 0;  // requests whose deadline a drain has shortened
  std::vector<Duration> received_time_left;  // the time left of each request when it was received
  Duration shortened_time_left{0};  // the new time left of the last request whose deadline was shortened
  // If set, these are called at the end of on_request() and on_client_disconnect().
  std::function<void(Exchange&)> request_hook;
  std::function<void(Exchange&)> disconnect_hook;
  Frontend frontend;
};

}  // namespace ironquay::net
