#include "adapter/reply_writer.hpp"

#include <utility>

namespace ironquay::adapter {
namespace {

// The name of the load balancer's only timer.
constexpr std::string_view kTimerName = "wake";
// The peer name that addresses a message to every peer.
constexpr std::string_view kAllPeers = "all";

}  // namespace

ReplyWriter::ReplyWriter(std::string instance_name, ReplyBuilder& reply)
    : instance_name_(std::move(instance_name)), reply_(reply) {}

void ReplyWriter::send_attempt(RequestId request, WorkerId worker, Duration timeout) {
  begin("SUBMIT_TO").add(request).add(worker).add(timeout).end_action();
}

void ReplyWriter::cancel_attempt(RequestId request, std::size_t attempt) {
  begin("WITHDRAW").add(request).add(attempt).end_action();
}

void ReplyWriter::reject(RequestId request, Duration retry_after) {
  begin("TURN_AWAY").add(request).add(retry_after).end_action();
}

void ReplyWriter::fail(RequestId request) { begin("FINISH_ERROR").add(request).end_action(); }

void ReplyWriter::set_timer(Duration when) { begin("REMIND").add(when).add(kTimerName).end_action(); }

void ReplyWriter::check_health(WorkerId worker) { begin("POLL").add(worker).end_action(); }

void ReplyWriter::close_idle_connections(WorkerId worker) { begin("SHUT_IDLE").add(worker).end_action(); }

void ReplyWriter::send_gossip(int peer, std::string_view bytes) {
  begin("BROADCAST_TO").add(peer).add_hex(bytes).end_action();
}

void ReplyWriter::broadcast_gossip(std::string_view bytes) {
  begin("BROADCAST_TO").add(kAllPeers).add_hex(bytes).end_action();
}

void ReplyWriter::subscribe_endpoints(bool on) { begin("STREAM_CHANGES").add(on ? 1 : 0).end_action(); }

void ReplyWriter::poll_endpoints() { begin("QUERY_ALL").end_action(); }

void ReplyWriter::add_to_counter(std::string_view name, double amount, Duration lifetime) {
  begin("CHARGE_COUNTER").add(amount).add(lifetime).add(name).end_action();
}

void ReplyWriter::log_note(std::string_view text) { begin("REMARK").add(text).end_action(); }

}  // namespace ironquay::adapter
