#include "net/counter_connection.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

#include "net/log.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// How often an idle connection is kept alive with a PING. The counter service closes a connection that was
// idle for about 10 s.
constexpr Duration kHeartbeatInterval = 2s;
// A connection is closed if calls are pending and no response was received for this many call timeouts. An
// overloaded service still answers the calls in order. If the host of the service has failed, the connection
// stays open, but no response ever arrives.
constexpr int kInactivityCallTimeouts = 3;
// While a response is incomplete, more of it must arrive within the call timeout divided by this number.
constexpr int kResponseGapDivisor = 2;

// Returns the count after an addition, or nothing if the reply is not a finite number.
std::optional<double> parse_total(const resp::Reply& reply) {
  if (reply.type != '$') return std::nullopt;
  double total = 0;
  const char* last = reply.text.data() + reply.text.size();
  const auto [end, error] = std::from_chars(reply.text.data(), last, total);
  if (error != std::errc() || end != last || !std::isfinite(total)) return std::nullopt;
  return total;
}

bool is_rejection(const resp::Reply& reply) {
  const std::string_view code = reply.text.substr(0, 4);
  return reply.type == '-' && (code == "BUSY" || code == "ERR ");
}

}  // namespace

const char* to_string(CounterCloseReason reason) {
  switch (reason) {
    case CounterCloseReason::connect_refused:
      return "connection-refused";
    case CounterCloseReason::connect_timed_out:
      return "connect-failed";
    case CounterCloseReason::malformed_response:
      return "malformed-response";
    case CounterCloseReason::closed_by_server:
      return "counter-closed";
    case CounterCloseReason::reset_by_server:
      return "counter-reset";
    case CounterCloseReason::inactive:
      return "inactivity-timeout";
    case CounterCloseReason::address_changed:
      return "address-changed";
  }
  return "";
}

CounterConnection::CounterConnection(EventLoop& loop, const Address& address, FileDescriptor fd,
                                     Duration call_timeout, Owner& owner)
    : loop_(loop),
      address_(address),
      call_timeout_(call_timeout),
      owner_(owner),
      stream_(loop, std::move(fd), *this, false),
      last_response_at_(loop.now()),
      call_timer_(loop, [this] { on_call_timeout(); }),
      heartbeat_timer_(loop, [this] { on_heartbeat_timer(); }),
      response_gap_timer_(loop, [this] { close(CounterCloseReason::malformed_response); }) {
  heartbeat_timer_.expire_after(kHeartbeatInterval);
  call_timer_.expire_after(call_timeout_);
}

void CounterConnection::add(std::string_view name, std::string_view command) {
  write({std::string(name), {}, 0, false}, command);
}

bool CounterConnection::has_pending_call(std::string_view name) const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [&](const Call& call) { return !call.reported && call.name == name; });
}

void CounterConnection::drain() {
  draining_ = true;
  close_if_drained();
}

void CounterConnection::close(CounterCloseReason reason) {
  if (std::exchange(closed_, true)) return;
  log("connection closed peer=counter addr=%s reason=%s replies=%zu pending=%zu", to_string(address_).c_str(),
      to_string(reason), responses_, calls_.size());
  const std::size_t sent_bytes = stream_.connected() ? enqueued_bytes_ - stream_.unwritten_bytes() : 0;
  stream_.close();
  for (Timer* timer : {&heartbeat_timer_, &call_timer_, &response_gap_timer_}) timer->stop();
  std::vector<CounterResult> results;
  for (Call& call : calls_) {
    if (std::exchange(call.reported, true)) continue;
    const bool was_sent = call.end_offset <= sent_bytes;
    results.push_back({call.name, was_sent ? Outcome::connection_lost : Outcome::connect_failed, 0});
  }
  owner_.on_connection_end(*this, has_responded_, std::move(results));
}

void CounterConnection::on_events(std::uint32_t events) {
  if (!stream_.make_progress(events)) {
    if (stream_.connection_end() != ConnectionEnd::none) close(CounterCloseReason::connect_refused);
    return;
  }
  stream_.read(events, [&](std::string_view bytes) { return on_bytes(bytes); });
  if (closed_) return;
  if (malformed_) return close(CounterCloseReason::malformed_response);
  if (!stream_.has_ended(events)) return close_if_drained();
  const bool closed_by_server = stream_.connection_end() == ConnectionEnd::peer_closed;
  close(closed_by_server ? CounterCloseReason::closed_by_server : CounterCloseReason::reset_by_server);
}

void CounterConnection::write(Call call, std::string_view command) {
  if (calls_.empty()) {
    last_response_at_ = loop_.now();
    heartbeat_timer_.expire_after(call_timeout_);
  }
  enqueued_bytes_ += command.size();
  call.deadline = loop_.now() + call_timeout_;
  call.end_offset = enqueued_bytes_;
  calls_.push_back(std::move(call));
  if (!call_timer_.is_active()) call_timer_.expire_at(calls_.back().deadline);
  stream_.write({command});
}

// Sends a heartbeat if no call is pending. Closes the connection if calls are pending and no response has
// arrived for too long.
void CounterConnection::on_heartbeat_timer() {
  if (stream_.connected() && calls_.empty()) write({std::string(), {}, 0, true}, "*1\r\n$4\r\nPING\r\n");
  const Duration inactive_for = loop_.now() - last_response_at_;
  if (!calls_.empty() && inactive_for > kInactivityCallTimeouts * call_timeout_)
    return close(CounterCloseReason::inactive);
  heartbeat_timer_.expire_after(calls_.empty() ? kHeartbeatInterval : call_timeout_);
}

// Reports the calls whose deadline has passed as timed out. They stay in the queue, because their responses
// may still arrive.
void CounterConnection::on_call_timeout() {
  // The calls have not been written, and must not be written after their timeout has been reported.
  if (!stream_.connected()) return close(CounterCloseReason::connect_timed_out);
  // The owner may add calls while it is notified, which invalidates iterators but not indices.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    if (calls_[i].reported) continue;
    if (calls_[i].deadline > loop_.now()) return call_timer_.expire_at(calls_[i].deadline);
    calls_[i].reported = true;
    owner_.on_counter_result(*this, {calls_[i].name, Outcome::timed_out, 0});
  }
  close_if_drained();
}

std::size_t CounterConnection::on_bytes(std::string_view bytes) {
  has_responded_ = has_responded_ || !calls_.empty();
  if (malformed_) return bytes.size();
  std::size_t consumed = 0;
  while (consumed < bytes.size()) {
    resp::Reply reply;
    const resp::ParseStatus parsed = resp::parse_reply(bytes.substr(consumed), reply);
    if (parsed == resp::ParseStatus::incomplete) break;
    malformed_ = parsed == resp::ParseStatus::malformed || !on_reply(reply);
    if (malformed_) return bytes.size();
    consumed += reply.wire_bytes;
  }
  if (consumed < bytes.size()) {
    response_gap_timer_.expire_after(call_timeout_ / kResponseGapDivisor);
  } else {
    response_gap_timer_.stop();
  }
  return consumed;
}

// Returns false if the reply cannot be an answer to the oldest call.
bool CounterConnection::on_reply(const resp::Reply& reply) {
  if (calls_.empty()) return false;
  const std::optional<double> total = parse_total(reply);
  const bool is_heartbeat = calls_.front().name.empty();
  const bool expected = is_heartbeat ? reply.type == '+' : total || is_rejection(reply);
  if (!expected) return false;
  last_response_at_ = loop_.now();
  ++responses_;
  const Call call = std::move(calls_.front());
  calls_.pop_front();
  if (call.reported) return true;
  owner_.on_counter_result(*this,
                           {call.name, total ? Outcome::success : Outcome::rejected, total.value_or(0)});
  return true;
}

bool CounterConnection::all_reported() const {
  return std::all_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.reported; });
}

void CounterConnection::close_if_drained() {
  if (draining_ && all_reported()) close(CounterCloseReason::address_changed);
}

}  // namespace ironquay::net
