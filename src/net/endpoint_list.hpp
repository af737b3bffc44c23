// Parses the JSON form of an endpoint list, as discovery sends it and as it is cached in the configuration.
#pragma once
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "net/socket.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// One worker in an endpoint list.
struct Endpoint {
  std::string name;
  Address address{};  // meaningful only if the worker is ready
  WorkerStatus status = WorkerStatus::ready;
  std::string zone;
  std::int64_t cell = 0;
  double relative_capacity = 1;  // full capacity divided by that of a standard worker
  Duration started_at{0};  // when the worker's process started, in Unix time; 0 if long ago or not given
};

// An endpoint list whose entries are not parsed yet. `entries` points into the JSON that was passed to
// parse_endpoint_list().
struct EndpointList {
  std::optional<std::int64_t> version;
  bool is_full = false;  // true: the list has every worker; false: only those that changed
  const nlohmann::json* entries = nullptr;
};

// Returns an empty result if the JSON is not an endpoint list.
std::optional<EndpointList> parse_endpoint_list(const nlohmann::json& list);

// Returns an empty result and logs a line if an entry has no name, or is ready and has no valid address. An
// entry that is not a JSON object gives an empty result without a log line.
std::optional<Endpoint> parse_endpoint(const nlohmann::json& entry);

}  // namespace ironquay::net
