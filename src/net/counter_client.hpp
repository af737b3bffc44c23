// The client of the counter service, which keeps counts that all gateways share.
//
// The client keeps one connection open and reconnects with exponential backoff. When the address changes, new
// calls use a new connection, and the previous one stays open until its pending calls have ended. Results for
// one name are still reported in the order of the calls.
#pragma once
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

#include "net/counter_connection.hpp"
#include "net/event_loop.hpp"
#include "net/socket.hpp"
#include "net/timer.hpp"
#include "policy/events.hpp"

namespace ironquay::net {

class CounterClient : CounterConnection::Owner {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // A call has ended. May be called from within add(). Replies for one name are reported in the order of
    // the calls.
    virtual void on_counter_reply(const CounterReply& reply) = 0;
  };

  // Starts connecting immediately. A call times out after `call_timeout`. While calls without a response use
  // more than `call_memory_bytes`, further ones fail at once.
  CounterClient(EventLoop& loop, const Address& address, Duration call_timeout, std::size_t call_memory_bytes,
                Listener& listener);

  // Adds `amount` units to the count `name`, which expires `lifetime` after its first use. The result is
  // reported to the listener; without a connection it is Outcome::connect_failed.
  void add(std::string_view name, double amount, Duration lifetime);
  // The number of calls without a response.
  std::size_t pending_calls() const;
  // Sends all further calls to another address.
  void set_address(const Address& address);

 private:
  void on_counter_result(const CounterConnection& connection, CounterResult result) override;
  void on_connection_end(CounterConnection& connection, bool has_responded,
                         std::vector<CounterResult> results) override;

  void connect();
  void schedule_retry();
  void enqueue_result(const CounterConnection* source, CounterResult result);
  void release_blocked_results();
  void deliver_results();

  EventLoop& loop_;
  Address address_;
  Duration call_timeout_;
  std::size_t max_pending_calls_;
  Listener& listener_;
  // The connection for new calls; null while the client waits to reconnect.
  std::unique_ptr<CounterConnection> connection_;
  // The connection to the previous address, or null.
  std::unique_ptr<CounterConnection> draining_connection_;
  // Results that are ready to be reported to the listener, in this order.
  std::deque<CounterResult> ready_results_;
  // Results that must not be reported yet, because draining_connection_ has a pending call for the same name.
  // They move to ready_results_ when that call ends.
  std::deque<CounterResult> blocked_results_;
  bool delivering_ = false;  // deliver_results() is running
  Duration backoff_{0};      // the latest delay before a reconnect, 0 after a connection that has responded
  Timer retry_timer_;
};

}  // namespace ironquay::net
