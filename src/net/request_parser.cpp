#include "net/request_parser.hpp"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>

namespace ironquay::net {
namespace {

constexpr std::size_t kWordsWithoutBody = 4;
constexpr std::size_t kWordsWithBody = 5;
constexpr std::size_t kCustomerDigits = 16;
constexpr int kCustomerBase = 16;
// The maximum length of a request id in bytes. Clients use much shorter ids.
constexpr std::size_t kMaxRequestIdLength = 64;
// The maximum client timeout, one hour. Clients use shorter timeouts.
constexpr double kMaxTimeoutMs = 3.6e6;
constexpr double kMicrosecondsPerMs = 1000;

// The fields of the attribute list, not parsed yet. Absent fields keep the values below.
struct Attributes {
  std::string_view route;
  std::string_view plan;
  std::string_view idempotency_key;
  std::string_view timeout_ms;
  std::string_view units;
  std::string_view gateway_spread = "1";
  std::string_view first_gateway = "0";
  std::string_view is_retry;
};

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

// Returns whether the whole of `text` is a number, which is stored in `value`. For an integer, its base may
// be passed as a further argument.
template <typename Number, typename... Base>
bool parse_number(std::string_view text, Number& value, Base... base) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, base...);
  return error == std::errc() && end == last;
}

bool is_customer(std::string_view text) {
  std::uint64_t ignored_value = 0;
  return text.size() == kCustomerDigits && parse_number(text, ignored_value, kCustomerBase);
}

bool is_request_id(std::string_view text) {
  const auto is_visible = [](char c) { return c > ' ' && c <= '~'; };
  return !text.empty() && text.size() <= kMaxRequestIdLength &&
         std::all_of(text.begin(), text.end(), is_visible);
}

RequestMessage split_words(const resp::Command& command) {
  RequestMessage request;
  request.command = command.words[0];
  request.customer = command.words[1];
  request.client_request_id = command.words[2];
  request.attributes = command.words[3];
  request.has_body = command.word_count == kWordsWithBody;
  if (request.has_body) request.body = command.words[4];
  return request;
}

Attributes split_attributes(std::string_view list) {
  Attributes attributes;
  resp::for_each_field(list, [&](std::string_view name, std::string_view value) {
    if (name == "c") attributes.route = value;
    if (name == "t") attributes.plan = value;
    if (name == "k") attributes.idempotency_key = value;
    if (name == "d") attributes.timeout_ms = value;
    if (name == "r") attributes.is_retry = value;
    if (name == "units") attributes.units = value;
    if (name == "spread") attributes.gateway_spread = value;
    if (name == "first") attributes.first_gateway = value;
  });
  return attributes;
}

std::optional<RequestError> parse_route_and_plan(const Attributes& attributes, CommandType type,
                                                 const DecodedSettings& settings, RequestMessage& request) {
  const auto route = settings.route_index.find(attributes.route);
  if (route == settings.route_index.end()) return RequestError::unknown_route;
  const auto plan = settings.plan_index.find(attributes.plan);
  if (plan == settings.plan_index.end()) return RequestError::unknown_plan;
  request.route = route->second;
  request.plan = plan->second;
  const Idempotency idempotency = settings.policy_settings.routes[request.route].idempotency;
  const bool is_idempotent = idempotency == Idempotency::idempotent;
  if ((type == CommandType::idempotent_request) != is_idempotent)
    return RequestError::wrong_command_for_route;
  if (idempotency == Idempotency::keyed && attributes.idempotency_key.empty())
    return RequestError::missing_idempotency_key;
  return std::nullopt;
}

std::optional<RequestError> parse_client_timeout(const Attributes& attributes,
                                                 const DecodedSettings& settings, RequestMessage& request) {
  double timeout_ms = 0;
  const bool is_number = parse_number(attributes.timeout_ms, timeout_ms);
  // The comparison is negated so that NaN is rejected as well.
  if (!is_number || !(std::abs(timeout_ms) <= kMaxTimeoutMs)) return RequestError::invalid_timeout;
  const Duration timeout(std::llround(timeout_ms * kMicrosecondsPerMs));
  request.timeout = std::min(timeout, settings.policy_settings.routes[request.route].client_timeout);
  return std::nullopt;
}

std::optional<RequestError> parse_units(const Attributes& attributes, const DecodedSettings& settings,
                                        RequestMessage& request) {
  const bool is_number = parse_number(attributes.units, request.units);
  const bool in_range = request.units > 0 && request.units <= settings.policy_settings.max_units;
  if (!is_number || !in_range) return RequestError::invalid_units;
  return std::nullopt;
}

// Parses the customer's gateways and checks that this gateway is one of them.
std::optional<RequestError> parse_gateways(const Attributes& attributes, const PolicySettings& settings,
                                           RequestMessage& request) {
  const int gateways = std::max(1, settings.gateway_count);
  int& spread = request.gateway_spread;
  if (!parse_number(attributes.gateway_spread, spread) || spread < 1 || spread > gateways)
    return RequestError::invalid_gateway_spread;
  int& first = request.first_gateway;
  if (!parse_number(attributes.first_gateway, first) || first < 0 || first >= gateways)
    return RequestError::invalid_first_gateway;
  const int position = (settings.gateway_index - first + gateways) % gateways;
  if (position >= spread) return RequestError::wrong_gateway;
  return std::nullopt;
}

}  // namespace

CommandType command_type(std::string_view name) {
  if (equals_ignoring_case(name, "CALL.GET")) return CommandType::idempotent_request;
  if (equals_ignoring_case(name, "CALL.POST")) return CommandType::other_request;
  if (equals_ignoring_case(name, "PING")) return CommandType::ping;
  if (equals_ignoring_case(name, "CLIENT")) return CommandType::session;
  if (equals_ignoring_case(name, "SELECT")) return CommandType::session;
  if (equals_ignoring_case(name, "QUIT")) return CommandType::quit;
  return CommandType::unknown;
}

RequestParseResult parse_request(const resp::Command& command, CommandType type,
                                 const DecodedSettings& settings) {
  const std::size_t words = command.word_count;
  if (words != kWordsWithoutBody && words != kWordsWithBody) return RequestError::wrong_word_count;
  RequestMessage request = split_words(command);
  if (!is_customer(request.customer)) return RequestError::invalid_customer;
  if (!is_request_id(request.client_request_id)) return RequestError::invalid_request_id;
  const Attributes attributes = split_attributes(request.attributes);
  if (const auto error = parse_route_and_plan(attributes, type, settings, request)) return *error;
  if (const auto error = parse_client_timeout(attributes, settings, request)) return *error;
  if (const auto error = parse_units(attributes, settings, request)) return *error;
  if (const auto error = parse_gateways(attributes, settings.policy_settings, request)) return *error;
  request.is_retry = attributes.is_retry == "1";
  return request;
}

}  // namespace ironquay::net
