#include "net/gateway_status.hpp"

#include <chrono>
#include <utility>

#include "net/log.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStatusInterval = 10s;
constexpr std::size_t kBytesPerKilobyte = 1024;

}  // namespace

StatusLog::StatusLog(EventLoop& loop, std::function<StatusGauges()> read_gauges)
    : loop_(loop), read_gauges_(std::move(read_gauges)), timer_(loop, [this] { write(); }) {
  timer_.expire_after(kStatusInterval);
}

void StatusLog::write() {
  timer_.expire_after(kStatusInterval);
  const StatusGauges gauges = read_gauges_();
  log("status received=%llu served=%llu rejected=%llu failed=%llu disconnected=%llu attempts=%llu "
      "clients=%zu "
      "lingering=%zu pending=%zu client_kb=%zu customers=%zu counter_calls=%zu longest_iteration_ms=%lld",
      static_cast<unsigned long long>(counters.received), static_cast<unsigned long long>(counters.served),
      static_cast<unsigned long long>(counters.rejected), static_cast<unsigned long long>(counters.failed),
      static_cast<unsigned long long>(counters.disconnected),
      static_cast<unsigned long long>(counters.attempts), gauges.clients, gauges.lingering, gauges.pending,
      gauges.client_bytes / kBytesPerKilobyte, gauges.customers, gauges.counter_calls,
      static_cast<long long>(
          std::chrono::ceil<std::chrono::milliseconds>(loop_.take_longest_iteration()).count()));
}

const char* to_string(UnservedReason reason) {
  switch (reason) {
    case UnservedReason::over_quota:
      return "over-quota";
    case UnservedReason::over_ceiling:
      return "over-ceiling";
    case UnservedReason::arrived_late:
      return "arrived-late";
    case UnservedReason::overload:
      return "overload";
    case UnservedReason::queue_full:
      return "queue-full";
    case UnservedReason::no_time_left:
      return "no-time-left";
    case UnservedReason::retry_not_allowed:
      return "retry-not-allowed";
    case UnservedReason::deadline_passed:
      return "deadline-passed";
  }
  return "";
}

const char* to_string(Outcome outcome) {
  switch (outcome) {
    case Outcome::success:
      return "success";
    case Outcome::failure:
      return "failure";
    case Outcome::rejected:
      return "rejected";
    case Outcome::timed_out:
      return "timed-out";
    case Outcome::connect_failed:
      return "connect-failed";
    case Outcome::connection_lost:
      return "connection-lost";
    case Outcome::malformed_response:
      return "malformed-response";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::not_sent:
      return "not-sent";
    case Outcome::stale_connection:
      return "stale-connection";
    case Outcome::invalid_request:
      return "invalid-request";
  }
  return "";
}

}  // namespace ironquay::net
