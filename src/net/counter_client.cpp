#include "net/counter_client.hpp"

#include <algorithm>
#include <charconv>
#include <string>

#include "net/resp.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// The first and the longest delay before the client reconnects. The delay doubles until a connection receives
// a response. The longest delay is a quarter of the longest time for which the policy stops calling the
// counter service, so that a connection is open again when the policy resumes its calls.
constexpr Duration kInitialBackoff = 100ms;
constexpr Duration kMaxBackoff = 1s;
// The memory of a call without a response: its command, its entry, and its name.
constexpr std::size_t kCallBytes = 512;
// The maximum length of a number, in bytes. The largest double has about 310 digits in decimal notation.
constexpr std::size_t kMaxNumberLength = 400;

std::string add_command(std::string_view name, double amount, Duration lifetime) {
  char digits[kMaxNumberLength];
  const auto end = std::to_chars(digits, digits + sizeof digits, amount, std::chars_format::fixed);
  const auto lifetime_ms = std::max<long>(1, std::chrono::ceil<std::chrono::milliseconds>(lifetime).count());
  std::string command;
  resp::append_array_header(command, 4);
  resp::append_bulk_string(command, "CNT.ADD");
  resp::append_bulk_string(command, name);
  resp::append_bulk_string(command, std::string_view(digits, static_cast<std::size_t>(end.ptr - digits)));
  resp::append_bulk_string(command, std::to_string(lifetime_ms));
  return command;
}

}  // namespace

CounterClient::CounterClient(EventLoop& loop, const Address& address, Duration call_timeout,
                             std::size_t call_memory_bytes, Listener& listener)
    : loop_(loop),
      address_(address),
      call_timeout_(call_timeout),
      max_pending_calls_(std::max<std::size_t>(1, call_memory_bytes / kCallBytes)),
      listener_(listener),
      retry_timer_(loop, [this] { connect(); }) {
  connect();
}

void CounterClient::add(std::string_view name, double amount, Duration lifetime) {
  if (connection_ && pending_calls() < max_pending_calls_)
    return connection_->add(name, add_command(name, amount, lifetime));
  enqueue_result(nullptr, {std::string(name), Outcome::connect_failed, 0});
  deliver_results();
}

std::size_t CounterClient::pending_calls() const {
  return (connection_ ? connection_->pending_calls() : 0) +
         (draining_connection_ ? draining_connection_->pending_calls() : 0);
}

void CounterClient::set_address(const Address& address) {
  if (same_address(address, address_)) return;
  address_ = address;
  backoff_ = Duration(0);
  retry_timer_.stop();
  if (draining_connection_) draining_connection_->close(CounterCloseReason::address_changed);
  draining_connection_ = std::move(connection_);
  connect();
  if (draining_connection_) draining_connection_->drain();
}

void CounterClient::connect() {
  if (connection_) return;
  FileDescriptor fd = connect_tcp(address_);
  if (!fd) {
    schedule_retry();
    return deliver_results();
  }
  CounterConnection::Owner& owner = *this;
  connection_ = std::make_unique<CounterConnection>(loop_, address_, std::move(fd), call_timeout_, owner);
}

void CounterClient::schedule_retry() {
  backoff_ = std::clamp<Duration>(2 * backoff_, kInitialBackoff, kMaxBackoff);
  retry_timer_.expire_after(backoff_);
}

void CounterClient::on_counter_result(const CounterConnection& connection, CounterResult result) {
  enqueue_result(&connection, std::move(result));
  deliver_results();
}

void CounterClient::on_connection_end(CounterConnection& connection, bool has_responded,
                                      std::vector<CounterResult> results) {
  for (CounterResult& result : results) enqueue_result(&connection, std::move(result));
  if (&connection == draining_connection_.get()) {
    loop_.destroy_later(std::move(draining_connection_));
    return deliver_results();
  }
  loop_.destroy_later(std::move(connection_));
  if (has_responded) {
    // This connection has failed, but the service responded on it, so the client reconnects without delay.
    backoff_ = Duration(0);
    connect();
  } else {
    schedule_retry();
  }
  deliver_results();
}

// Queues a result for delivery. `source` is the connection of the call, or null if there was none. A result
// that did not come from the draining connection is held back while that connection has a pending call for
// the same name, so that results for one name keep the order of the calls.
void CounterClient::enqueue_result(const CounterConnection* source, CounterResult result) {
  release_blocked_results();
  const bool blocked = draining_connection_ && source != draining_connection_.get() &&
                       draining_connection_->has_pending_call(result.name);
  (blocked ? blocked_results_ : ready_results_).push_back(std::move(result));
}

// Moves the results that are no longer held back to the delivery queue.
void CounterClient::release_blocked_results() {
  std::erase_if(blocked_results_, [&](CounterResult& result) {
    if (draining_connection_ && draining_connection_->has_pending_call(result.name)) return false;
    ready_results_.push_back(std::move(result));
    return true;
  });
}

// Reports the queued results. The listener may call add() while it handles a result, and that call may fail
// immediately. Such a result is delivered by the loop that is already running.
void CounterClient::deliver_results() {
  release_blocked_results();
  if (std::exchange(delivering_, true)) return;
  while (!ready_results_.empty()) {
    const CounterResult result = std::move(ready_results_.front());
    ready_results_.pop_front();
    listener_.on_counter_reply({result.name, result.outcome, result.total});
  }
  delivering_ = false;
}

}  // namespace ironquay::net
