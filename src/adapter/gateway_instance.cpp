#include "adapter/gateway_instance.hpp"

#include <exception>
#include <map>
#include <string_view>
#include <utility>

#include "adapter/errors.hpp"

namespace ironquay::adapter {
namespace {

// The mask of the bit that marks a request as a client retry in the field `opts` of a CALL message.
constexpr int kRetryOptionMask = 2;

Outcome parse_outcome(FieldReader& fields) {
  static const std::map<std::string_view, Outcome> outcomes = {{"pass", Outcome::success},
                                                               {"fault", Outcome::failure},
                                                               {"no_room", Outcome::rejected},
                                                               {"too_slow", Outcome::timed_out},
                                                               {"no_route", Outcome::connect_failed},
                                                               {"cut", Outcome::connection_lost},
                                                               {"undone", Outcome::cancelled},
                                                               {"stale_send", Outcome::not_sent}};
  return fields.mapped_value("outcome", outcomes);
}

EndpointListKind parse_list_kind(FieldReader& fields) {
  static const std::map<std::string_view, EndpointListKind> kinds = {{"D", EndpointListKind::delta},
                                                                     {"F", EndpointListKind::full},
                                                                     {"C", EndpointListKind::cached},
                                                                     {"X", EndpointListKind::failed}};
  return fields.mapped_value("mode", kinds);
}

WorkerStatus parse_status(FieldReader& fields) {
  static const std::map<std::string_view, WorkerStatus> statuses = {
      {"Ready", WorkerStatus::ready}, {"Terminating", WorkerStatus::draining}, {"Gone", WorkerStatus::gone}};
  return fields.mapped_value("phase", statuses);
}

// Combines both halves of the simulator's 64-bit seed into the 32-bit seed of the load balancer.
std::uint32_t fold_seed(std::uint64_t seed) { return static_cast<std::uint32_t>(seed ^ (seed >> 32)); }

}  // namespace

GatewayInstance::GatewayInstance(std::string name, DecodedSettings settings, std::uint64_t seed, Duration now,
                                 ReplyBuilder& reply)
    : decoded_settings_(std::move(settings)),
      effects_(std::move(name), reply),
      balancer_(decoded_settings_.policy_settings, fold_seed(seed), now, effects_) {}

void GatewayInstance::deliver(FieldReader& fields, Duration now) {
  try {
    dispatch(fields, now);
  } catch (const ProtocolError&) {
    throw;
  } catch (const std::exception& error) {
    throw PolicyFailure(error.what());
  }
}

void GatewayInstance::dispatch(FieldReader& fields, Duration now) {
  using Handler = void (GatewayInstance::*)(FieldReader&, Duration);
  static const std::map<std::string_view, Handler> handlers = {
      {"ABANDONED", &GatewayInstance::receive_client_disconnect},
      {"BELL", &GatewayInstance::receive_timer},
      {"CALL", &GatewayInstance::receive_request},
      {"DISCOVERY", &GatewayInstance::receive_endpoint_list},
      {"DONE", &GatewayInstance::receive_attempt_end},
      {"NEIGHBOUR_SAYS", &GatewayInstance::receive_gossip},
      {"OPENED", &GatewayInstance::receive_response_start},
      {"SAMPLED", &GatewayInstance::receive_health_check_end},
      {"TALLIED", &GatewayInstance::receive_counter_reply},
      {"WORKER", &GatewayInstance::receive_endpoint},
  };
  const auto handler = handlers.find(fields.message_name());
  if (handler == handlers.end())
    throw ProtocolError(std::string(fields.message_name()) + ": unknown message");
  (this->*handler->second)(fields, now);
}

void GatewayInstance::receive_request(FieldReader& fields, Duration now) {
  IncomingRequest request;
  request.id = fields.number<RequestId>("ticket");
  request.gateway_spread = fields.number<int>("spread");
  request.is_retry = (fields.number_or<int>("opts", 0) & kRetryOptionMask) != 0;
  request.units = fields.number<double>("weight");
  request.first_gateway = fields.number<int>("set_start");
  request.customer = fields.text("customer");
  request.time_left = fields.duration("remaining");
  request.route = fields.mapped_value("qos", decoded_settings_.route_index);
  request.plan = fields.mapped_value("tariff", decoded_settings_.plan_index);
  fields.expect_end();
  balancer_.on_request(now, request);
}

void GatewayInstance::receive_response_start(FieldReader& fields, Duration now) {
  const auto request = fields.number<RequestId>("ticket");
  fields.number<WorkerId>("worker");
  fields.duration("rtt");
  const auto attempt = fields.number<std::size_t>("copy");
  fields.expect_end();
  balancer_.on_response_start(now, request, attempt);
}

void GatewayInstance::receive_attempt_end(FieldReader& fields, Duration now) {
  AttemptResult result;
  result.request = fields.number<RequestId>("ticket");
  result.attempt = fields.number<std::size_t>("copy");
  result.worker = fields.number<WorkerId>("worker");
  result.outcome = parse_outcome(fields);
  result.elapsed = fields.duration("rtt");
  result.request_finished = fields.flag("done_flag");
  fields.number_or<double>("use_pct", 0);
  result.actual_units = fields.number_or<double>("charged", 0);
  fields.check_load_report("metrics", decoded_settings_.report_fields);
  fields.expect_end();
  balancer_.on_attempt_end(now, result);
}

void GatewayInstance::receive_client_disconnect(FieldReader& fields, Duration now) {
  const auto request = fields.number<RequestId>("ticket");
  fields.expect_end();
  balancer_.on_client_disconnect(now, request);
}

void GatewayInstance::receive_timer(FieldReader& fields, Duration now) {
  fields.text("ref");
  fields.expect_end();
  balancer_.on_timer(now);
}

void GatewayInstance::receive_health_check_end(FieldReader& fields, Duration now) {
  const Outcome outcome = parse_outcome(fields);
  const Duration elapsed = fields.duration("rtt");
  const auto worker = fields.number<WorkerId>("worker");
  fields.check_load_report("metrics", decoded_settings_.report_fields);
  fields.expect_end();
  balancer_.on_health_check_end(now, worker, outcome, elapsed);
}

void GatewayInstance::receive_gossip(FieldReader& fields, Duration now) {
  const int peer = fields.number<int>("origin_peer");
  const std::string bytes = fields.hex_bytes("content");
  fields.expect_end();
  balancer_.on_gossip(now, peer, bytes);
}

void GatewayInstance::receive_counter_reply(FieldReader& fields, Duration now) {
  CounterReply reply;
  reply.total = fields.number_or<double>("now_at", 0);
  fields.duration_or_zero("rtt");
  reply.outcome = parse_outcome(fields);
  reply.name = fields.text("tally_id");
  fields.expect_end();
  balancer_.on_counter_reply(now, reply);
}

void GatewayInstance::receive_endpoint_list(FieldReader& fields, Duration now) {
  const EndpointListKind kind = parse_list_kind(fields);
  fields.number_or<double>("epoch", 0);
  pending_endpoints_ = fields.number_or<std::size_t>("hosts", 0);
  fields.expect_end();
  balancer_.on_endpoint_list_begin(now, kind);
  if (pending_endpoints_ == 0) balancer_.on_endpoint_list_end(now);
}

void GatewayInstance::receive_endpoint(FieldReader& fields, Duration now) {
  if (pending_endpoints_ == 0) throw ProtocolError("WORKER: more messages than announced in hosts");
  EndpointUpdate update;
  update.started_at = fields.duration_or_zero("last_start");
  fields.text("flavor");
  update.worker = fields.number<WorkerId>("worker");
  update.cell = fields.number_or<std::int64_t>("bay", 0);
  update.zone = fields.text("area");
  update.status = parse_status(fields);
  update.relative_capacity = fields.number_or<double>("share", 1);
  fields.expect_end();
  balancer_.on_endpoint(now, update);
  if (--pending_endpoints_ == 0) balancer_.on_endpoint_list_end(now);
}

}  // namespace ironquay::adapter
