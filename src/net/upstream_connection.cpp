#include "net/upstream_connection.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>

#include "net/log.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// The longest time between two pieces of a response. TCP first retransmits a lost segment after 200 ms.
constexpr Duration kResponseGapTimeout = 250ms;
// One response may take an eighth of the memory for incomplete responses, so that it leaves room for others.
constexpr std::size_t kBudgetDivisorPerResponse = 8;
// A worker's response with a value has three elements: the value, the cost and the load report. A response
// with fewer is not whole: if the stated length of the value is wrong, the value includes the other elements.
constexpr std::size_t kValueReplyElements = 3;
constexpr std::size_t kMaxLoggedErrorBytes = 80;

}  // namespace

const char* to_string(UpstreamCloseReason reason) {
  switch (reason) {
    case UpstreamCloseReason::attempt_expired:
      return "attempt-expired";
    case UpstreamCloseReason::connect_refused:
      return "connection-refused";
    case UpstreamCloseReason::connect_timed_out:
      return "connect-failed";
    case UpstreamCloseReason::response_timed_out:
      return "response-timeout";
    case UpstreamCloseReason::closed_by_worker:
      return "worker-closed";
    case UpstreamCloseReason::reset_by_worker:
      return "worker-reset";
    case UpstreamCloseReason::malformed_response:
      return "malformed-response";
    case UpstreamCloseReason::incomplete_response:
      return "incomplete-response";
    case UpstreamCloseReason::trailing_bytes:
      return "trailing-bytes";
    case UpstreamCloseReason::memory_limit:
      return "memory-limit";
    case UpstreamCloseReason::cancelled:
      return "cancelled";
    case UpstreamCloseReason::endpoint_changed:
      return "endpoint-changed";
    case UpstreamCloseReason::idle_timeout:
      return "idle-timeout";
    case UpstreamCloseReason::connection_limit:
      return "connection-limit";
  }
  return "";
}

UpstreamConnection::UpstreamConnection(EventLoop& loop, const ConnectionSettings& settings,
                                       ResponseBufferBudget& budget, Owner& owner, WorkerId worker,
                                       FileDescriptor fd, const Address& address)
    : loop_(loop),
      settings_(settings),
      budget_(budget),
      owner_(owner),
      worker_(worker),
      address_(address),
      stream_(loop, std::move(fd), *this, false),
      timeout_timer_(loop, [this] { on_timeout(); }),
      opened_at_(loop.now()),
      buffered_memory_(budget.used_bytes) {}

void UpstreamConnection::start_attempt(RequestId request, std::size_t attempt, Duration timeout) {
  start(Use::attempt, timeout);
  request_ = request;
  attempt_ = attempt;
  attempt_waits_for_connect_ = !stream_.connected();
  if (!attempt_waits_for_connect_) write_attempt();
}

// The command is built here because it tells the worker the time that is left when it is written.
void UpstreamConnection::write_attempt() {
  attempt_waits_for_connect_ = false;
  const Duration time_left = deadline_ - loop_.precise_now();
  const std::string_view command =
      time_left > Duration(0) ? owner_.attempt_command(request_, time_left) : std::string_view();
  if (command.empty()) return close(UpstreamCloseReason::attempt_expired, Outcome::not_sent);
  stream_.write({command});
}

void UpstreamConnection::start_health_check(Duration timeout) {
  start(Use::health_check, timeout);
  stream_.write({"*1\r\n$4\r\nPING\r\n"});
}

void UpstreamConnection::start(Use use, Duration timeout) {
  use_ = use;
  use_since_ = loop_.now();
  deadline_ = use_since_ + timeout;
  ++commands_started_;
  const Duration connect_deadline = opened_at_ + settings_.connect_timeout;
  timeout_timer_.expire_at(stream_.connected() ? deadline_ : std::min(deadline_, connect_deadline));
}

void UpstreamConnection::on_events(std::uint32_t events) {
  const bool was_connected = stream_.connected();
  if (attempt_has_expired(events)) return close(UpstreamCloseReason::attempt_expired, Outcome::not_sent);
  if (!stream_.make_progress(events)) {
    if (stream_.connection_end() == ConnectionEnd::none) return;
    if (stream_.error() == ECONNREFUSED) owner_.on_connect_refused(worker_);
    return close(UpstreamCloseReason::connect_refused, Outcome::connect_failed);
  }
  if (!was_connected) timeout_timer_.expire_at(deadline_);
  if (attempt_waits_for_connect_) write_attempt();
  if (closed_) return;
  stream_.read(events, [&](std::string_view bytes) { return on_bytes(bytes); });
  if (!stream_.has_ended(events)) return;
  const bool closed_by_worker = stream_.connection_end() == ConnectionEnd::peer_closed;
  const bool was_reused = commands_started_ > 1;
  // If the connection ended before the last byte was written, the worker has not started the request.
  const Outcome outcome = has_unwritten_command() ? Outcome::connect_failed
                          : was_reused            ? Outcome::stale_connection
                                                  : Outcome::connection_lost;
  close(closed_by_worker ? UpstreamCloseReason::closed_by_worker : UpstreamCloseReason::reset_by_worker,
        outcome);
}

// Whether the attempt must not be written any more. An attempt whose bytes are still buffered has not been
// executed. When its bytes can finally be written, its worker may be draining, or the worker's deduplication
// window for the idempotency key may have ended.
bool UpstreamConnection::attempt_has_expired(std::uint32_t events) {
  const bool can_write = (events & EPOLLOUT) && !(events & (EPOLLERR | EPOLLHUP));
  if (!can_write || !has_unwritten_command() || use_ != Use::attempt) return false;
  return is_outdated() || !owner_.may_send_attempt(request_, attempt_);
}

void UpstreamConnection::on_timeout() {
  if (!stream_.connected()) return close(UpstreamCloseReason::connect_timed_out, Outcome::connect_failed);
  if (has_unwritten_command()) return close(UpstreamCloseReason::response_timed_out, Outcome::connect_failed);
  if (stream_.unread().empty()) return close(UpstreamCloseReason::response_timed_out, Outcome::timed_out);
  // The value is not used even if it seems to be complete. If its stated length is wrong, it may include the
  // elements that are missing after it.
  close(UpstreamCloseReason::incomplete_response, Outcome::malformed_response);
}

std::size_t UpstreamConnection::on_bytes(std::string_view bytes) {
  if (closed_) return bytes.size();
  resp::Reply reply;
  const resp::ParseStatus parsed = resp::parse_reply(bytes, reply, max_value_bytes());
  if (parsed == resp::ParseStatus::incomplete && use_ != Use::idle) {
    wait_for_more_bytes(bytes.size());
    return 0;
  }
  // A further element after the response shows that a stated length does not fit: the value may be cut off.
  const bool is_whole =
      parsed == resp::ParseStatus::complete && !resp::begins_with_bulk_string(bytes.substr(reply.wire_bytes));
  const bool expected = is_whole && use_ != Use::idle;
  out_of_sync_ = !expected || reply.wire_bytes < bytes.size();
  if (!expected || !on_reply(reply)) {
    close(UpstreamCloseReason::malformed_response, Outcome::malformed_response);
  } else if (out_of_sync_) {
    close(UpstreamCloseReason::trailing_bytes, Outcome::cancelled);
  } else if (is_outdated()) {
    close(UpstreamCloseReason::endpoint_changed, Outcome::cancelled);
  }
  return bytes.size();
}

// The bytes are in the stream's buffer, which may be larger, or the stream copies them to a buffer of their
// size.
void UpstreamConnection::wait_for_more_bytes(std::size_t received_bytes) {
  timeout_timer_.expire_at(std::min(deadline_, loop_.now() + kResponseGapTimeout));
  buffered_memory_.set(std::max(received_bytes, stream_.unread_memory()));
  if (budget_.exceeded()) close(UpstreamCloseReason::memory_limit, Outcome::malformed_response);
}

// Returns false if the reply cannot be an answer to the command in flight. The on_..._reply() functions below
// return false in the same case.
bool UpstreamConnection::on_reply(const resp::Reply& reply) {
  if (use_ == Use::health_check) return on_health_check_reply(reply);
  return reply.type == '-' ? on_error_reply(reply.text) : on_value_reply(reply);
}

bool UpstreamConnection::on_health_check_reply(const resp::Reply& reply) {
  if (reply.type != '+' && reply.type != '-') return false;
  finish(reply.type == '+' ? Outcome::success : Outcome::failure);
  return true;
}

bool UpstreamConnection::on_error_reply(std::string_view error) {
  if (error.starts_with("BUSY")) {
    finish(Outcome::rejected);
    return true;
  }
  if (error.starts_with("ERR failed")) {
    finish(Outcome::failure);
    return true;
  }
  if (!error.starts_with("ERR")) return false;
  log("request invalid for worker addr=%s error='%.*s'", to_string(address_).c_str(),
      static_cast<int>(std::min(error.size(), kMaxLoggedErrorBytes)), error.data());
  finish(Outcome::invalid_request);
  return true;
}

bool UpstreamConnection::on_value_reply(const resp::Reply& reply) {
  const bool is_value_reply = reply.type == '*' && reply.element_count == kValueReplyElements;
  if (use_ != Use::attempt || !is_value_reply || reply.elements[0].is_null) return false;
  finish(Outcome::success, reply.elements[0].raw, actual_units(reply));
  return true;
}

// The units that the worker reports for the request, or 0 if it reports none or an invalid number.
double UpstreamConnection::actual_units(const resp::Reply& reply) const {
  const std::string_view cost = resp::find_field(reply.elements[1].text, "cost");
  const char* last = cost.data() + cost.size();
  double units = 0;
  const auto [end, error] = std::from_chars(cost.data(), last, units);
  const bool is_number = error == std::errc() && end == last;
  return is_number && units > 0 && units <= settings_.max_units ? units : 0;
}

// Returns the connection to the pool before it reports the end, because the receiver of the report may send
// the next attempt immediately.
void UpstreamConnection::finish(Outcome outcome, std::string_view value, double actual_units) {
  timeout_timer_.stop();
  buffered_memory_.set(0);
  const Use use = std::exchange(use_, Use::idle);
  const Duration elapsed = loop_.now() - use_since_;
  use_since_ = loop_.now();
  if (!closed_ && !out_of_sync_ && !is_outdated()) owner_.on_connection_idle(*this);
  if (use == Use::health_check) return owner_.on_health_check_end(worker_, outcome, elapsed);
  owner_.on_attempt_end({request_, attempt_, worker_, outcome, elapsed, value, actual_units});
}

void UpstreamConnection::close(UpstreamCloseReason reason, Outcome outcome) {
  if (closed_) return;
  closed_ = true;
  log("connection closed peer=worker addr=%s reason=%s attempts=%zu in_flight=%d",
      to_string(address_).c_str(), to_string(reason), commands_started_, use_ != Use::idle);
  stream_.close();
  timeout_timer_.stop();
  owner_.on_connection_closed(*this);
  if (use_ != Use::idle) finish(outcome);
}

// Does not read what has arrived, because the caller may be processing the content of the shared read buffer.
bool UpstreamConnection::close_unless_usable() {
  if (stream_.nothing_to_read()) return true;
  close(stream_.peer_has_disconnected() ? UpstreamCloseReason::closed_by_worker
                                        : UpstreamCloseReason::malformed_response,
        Outcome::cancelled);
  return false;
}

// Values over resp::kMaxValueBytes are accepted as well, because workers send such values and they are valid.
std::size_t UpstreamConnection::max_value_bytes() const {
  return std::max(resp::kMaxValueBytes, budget_.limit_bytes / kBudgetDivisorPerResponse);
}

}  // namespace ironquay::net
