#include "net/endpoint_list.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <type_traits>

#include "net/log.hpp"

namespace ironquay::net {
namespace {

using Json = nlohmann::json;

// The maximum start time of a worker, in Unix milliseconds. Larger values cannot be valid times and are
// clamped to this one.
constexpr double kMaxStartTimeMs = 1e14;

// Returns the value of a key, or `fallback` if the key is missing or its value has another type.
template <typename T>
T value_or(const Json& object, const char* key, T fallback) {
  const auto found = object.find(key);
  if (found == object.end()) return fallback;
  if constexpr (std::is_same_v<T, std::string>)
    return found->is_string() ? found->get<T>() : fallback;
  else if constexpr (std::is_same_v<T, bool>)
    return found->is_boolean() ? found->get<T>() : fallback;
  else if constexpr (std::is_integral_v<T>)
    return found->is_number_integer() ? found->get<T>() : fallback;
  else
    return found->is_number() ? found->get<T>() : fallback;
}

// An unknown or missing health status is treated as draining, so that the worker gets no new requests.
WorkerStatus parse_status(const std::string& health) {
  if (health == "in_service") return WorkerStatus::ready;
  if (health == "terminated") return WorkerStatus::gone;
  return WorkerStatus::draining;
}

Duration parse_start_time(const Json& entry) {
  const double milliseconds = std::clamp(value_or(entry, "born_ms", 0.0), 0.0, kMaxStartTimeMs);
  return Duration(std::llround(milliseconds * 1000));
}

}  // namespace

std::optional<EndpointList> parse_endpoint_list(const Json& list) {
  if (!list.is_object()) return std::nullopt;
  const auto entries = list.find("hosts");
  if (entries == list.end() || !entries->is_array()) return std::nullopt;
  EndpointList parsed;
  const auto version = list.find("seq");
  if (version != list.end() && version->is_number_integer()) parsed.version = version->get<std::int64_t>();
  parsed.is_full = value_or(list, "whole", false);
  parsed.entries = &*entries;
  return parsed;
}

std::optional<Endpoint> parse_endpoint(const Json& entry) {
  if (!entry.is_object()) return std::nullopt;
  Endpoint endpoint;
  endpoint.name = value_or<std::string>(entry, "host", "");
  const auto dial = value_or<std::string>(entry, "dial", "");
  const std::optional<Address> address = parse_address(dial);
  endpoint.status = parse_status(value_or<std::string>(entry, "health", ""));
  if (endpoint.name.empty() || (!address && endpoint.status == WorkerStatus::ready)) {
    log("endpoint ignored host='%s' address='%s'", endpoint.name.c_str(), dial.c_str());
    return std::nullopt;
  }
  endpoint.address = address.value_or(Address{});
  endpoint.zone = value_or<std::string>(entry, "site", "");
  endpoint.cell = value_or<std::int64_t>(entry, "block", 0);
  endpoint.relative_capacity = value_or(entry, "share", 1.0);
  endpoint.started_at = parse_start_time(entry);
  return endpoint;
}

}  // namespace ironquay::net
