// The settings for routing and quota decisions, decoded once when a gateway starts.
//
// Every value but quota_memory_bytes comes from the operators' settings object;
// src/config/settings_decoder.cpp maps its keys to these fields. "The platform" in this file is the
// operators' environment in which gateways and workers run.
#pragma once
#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "policy/types.hpp"

namespace ironquay {

// Whether a request may be executed again.
enum class Idempotency {
  idempotent,      // it may be executed any number of times
  keyed,           // it may be sent again, because workers discard repeats with the same idempotency key
  non_idempotent,  // it must not be executed twice
};

// The workers that share idempotency keys and therefore discard a repeat of a keyed request: all of them,
// those in the zone, or those in the cell of the worker that executed it.
enum class DedupScope { all, zone, cell };

// A class of requests with common rules.
struct Route {
  Idempotency idempotency = Idempotency::idempotent;
  DedupScope dedup_scope = DedupScope::all;
  Duration dedup_window{0};  // how long a worker discards repeats with the same idempotency key
  // A response has its full value if it arrives within this time after the client first sent the request.
  Duration latency_objective{0};
  Duration client_timeout{0};   // time after which the client stops waiting
  double priority_weight = 0;   // value of a response within the latency objective
  double late_value_share = 0;  // share of priority_weight that a response after the objective is worth
};

// The quota of each customer on this plan, summed over all gateways.
struct QuotaPlan {
  double rate = 0;           // units per second; 0: unlimited
  double burst = 0;          // units; the limit to which unused quota accumulates
  int max_concurrent = 0;    // limit on attempts in flight; 0: unlimited
  double ceiling_rate = 0;   // limit on units per second sent to workers, even over quota; 0: no ceiling
  double ceiling_burst = 0;  // units; the limit to which the unused ceiling accumulates
  double overage_value_share = 0;  // share of a request's value that is earned if it is served over quota
  double overage_cost_share = 0;   // share of a request's value that is charged if it is served over quota
};

// What the platform guarantees about workers and the endpoint list.
struct ContractSettings {
  double initial_capacity_share = 1;  // share of its full capacity that a worker has when it starts
  Duration slow_start_window{0};      // time from its start until it has its full capacity
  Duration overload_window{0};        // a worker fails if it is overloaded over this length of time
  Duration poll_deadline{0};          // age at which a polled endpoint list is out of date
};

// What the platform permits a gateway to do.
struct Capabilities {
  bool cancel = false;           // the gateway may cancel attempts in flight
  bool hedging = false;          // the gateway may have several attempts of one request in flight at a time
  bool counter = false;          // the gateway may call the counter service
  bool retry_after = false;      // the gateway may advise rejected clients when to retry
  bool polls_endpoints = false;  // true: the endpoint list is polled; false: it is pushed
  int max_attempts = 1;          // attempts per request, including the first
  Duration max_retry_after{0};   // the longest time after which clients may be advised to retry
  Duration counter_timeout{0};   // time after which a call to the counter without a reply fails
  double gossip_rate_limit = 0;  // messages per second that a gateway accepts; 0: gossip is not permitted
};

// All settings of the policy modules.
struct PolicySettings {
  std::vector<Route> routes;
  std::vector<QuotaPlan> plans;
  ContractSettings contract;
  Capabilities capabilities;
  int gateway_index = 0;  // this gateway's index, from 0 to gateway_count - 1
  int gateway_count = 1;
  std::string zone;                    // the zone of this gateway
  double max_units = 1;                // the largest number of units that one request may use
  double cross_zone_cost = 0;          // cost of sending an attempt to a worker in another zone; 0: none
  bool reports_actual_units = false;   // true if responses report the units that a request used
  std::size_t quota_memory_bytes = 0;  // memory for quota state, a part of the process's limit; 0: unlimited
  Duration tick{0};                    // granularity of the clocks of gateways and workers
};

// Returns the longest client timeout of all routes; zero if there are none.
inline Duration longest_client_timeout(const PolicySettings& settings) {
  Duration longest{0};
  for (const Route& route : settings.routes) longest = std::max(longest, route.client_timeout);
  return longest;
}

}  // namespace ironquay
