// An open-loop load generator for gateways. Requests are scheduled independently of the responses, and
// latency is measured from the scheduled time. A stall of the gateways therefore shows in the latencies,
// whereas a closed-loop generator would send fewer requests during the stall and hide it.
#pragma once
#include <atomic>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "lab/scenario/scenario.hpp"
#include "net/event_loop.hpp"
#include "net/socket.hpp"

namespace ironquay::lab {

// What the load generator sends, and where to.
struct LoadOptions {
  std::vector<net::Address> targets;  // addresses of the gateways, by index
  double rate = 10;                   // requests per second
  Duration duration{0};               // time during which requests are sent
  // The generator stops after this number of requests, even if `duration` has not passed yet.
  std::uint64_t max_requests = 0;
  std::uint32_t seed = 1;
};

// Sends requests as `options` say and runs `loop` until all of them have ended. Returns the figures, which
// docs/laboratory.md explains. After `stop_requested` is set, no further requests are sent. Clients do not
// retry.
nlohmann::ordered_json generate_load(net::EventLoop& loop, const Scenario& scenario,
                                     const LoadOptions& options, const std::atomic<bool>& stop_requested);

}  // namespace ironquay::lab
