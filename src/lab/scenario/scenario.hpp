// The description of a laboratory run: the gateways' settings, the models of workers, network, counter and
// clients, the traffic, and the injected faults. docs/laboratory.md describes the TOML file format.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "policy/settings.hpp"

namespace ironquay::lab {

// The demand of the customers of one quota plan. PolicySettings::plans contains the plan's quota at the same
// index. Demand is expressed as a multiple of the quota rate: at 1, a customer requests exactly its quota.
struct PlanDemand {
  std::string name;
  int customers = 0;
  double normal_quota_use = 0;      // demand of a normal customer
  double heavy_customer_share = 0;  // probability that a customer is a heavy customer
  double heavy_quota_use = 0;       // demand of a heavy customer
};

// The traffic on one route. PolicySettings::routes contains the route's policy settings at the same index.
struct RouteTraffic {
  std::string name;
  double weight = 0;      // share of all requests, relative to the weights of the other routes
  Duration mean_work{0};  // mean core time of a request with the mean number of units
};

enum class FaultKind {
  worker_slow,           // execution takes `factor` times as long
  worker_hang,           // the worker accepts requests but sends no responses until the fault ends
  worker_crash,          // the worker loses its requests, and restarts when the fault ends
  worker_vanish,         // the worker is unreachable: connection attempts time out, responses are lost
  worker_error,          // a share `factor` of the responses are errors
  replace,               // rolling replacement: new workers start one after another while the old ones drain
  discovery_silent,      // no gateway receives endpoint updates
  discovery_overloaded,  // a share `target_share` of the gateways receives no endpoint updates
  counter_refuse,        // the counter refuses calls
  counter_silent,        // the counter does not respond to calls
  counter_slow,          // a call takes `factor` times as long
  counter_split,         // half of the gateways use a second counter, which starts without totals
  restart,               // gateways crash, and restart when the fault ends
  burst,                 // the demand of the customers of `plan` is multiplied by `factor`
};

struct Fault {
  FaultKind kind = FaultKind::worker_slow;
  Duration start_time{0};  // time from the start of the run
  Duration duration{0};    // time until the fault ends; a replacement replaces all affected workers within it
  double target_share = 0;      // share of the workers or gateways that are affected, chosen at random
  std::vector<int> workers;     // indices of the affected workers; replaces target_share unless empty
  double factor = 1;            // FaultKind explains its meaning for each kind
  bool clears_counter = false;  // whether the counter loses its totals when a counter fault ends
  std::size_t plan = 0;         // index of the plan that a burst affects
};

// How a customer's requests are distributed over the gateways.
struct GatewayAssignment {
  double spread = 1;            // share of the gateways that one customer uses
  double skew = 0;              // 0: uniform over these gateways; higher values concentrate requests on a few
  Duration rotation_period{0};  // interval at which the preferred gateways change
};

struct WorkerModel {
  int count = 0;
  int cores = 1;                    // per worker
  std::size_t queue_limit = 0;      // requests per worker that may wait for a core
  int workers_per_cell = 1;         // number of consecutive workers that share one store of idempotency keys
  bool runs_cancelled_work = true;  // whether a queued request is executed although its gateway cancelled it
  double overload_multiple = 4;     // load above which a starting worker fails, in multiples of its capacity
  Duration drain_grace{0};          // time after a drain notice in which a gateway may still send attempts
  Duration connect_timeout{0};      // time until connecting to an unreachable worker fails
  // The number of requests in a worker at which it rejects more: a full queue and one request per core.
  std::size_t capacity() const { return queue_limit + static_cast<std::size_t>(cores); }
};

struct NetworkModel {
  Duration one_way_latency{0};  // latency of a message between any two processes, except gossip and discovery
  Duration discovery_delay{0};  // mean time until a gateway receives an endpoint update
  Duration gossip_delay{0};     // mean latency of a gossip message
  double gossip_loss = 0;       // probability that a gossip message is lost
};

struct CounterModel {
  double rate = 0;  // maximum calls per second
};

struct ClientModel {
  int max_retries = 0;                        // retries per request
  Duration backoff{0};                        // mean delay before a retry
  double follow_retry_after_probability = 0;  // probability that a client waits as long as Retry-After says
  double abandon_probability = 0;             // probability that a client disconnects before its timeout
};

struct Scenario {
  std::string name;
  Duration duration{0};            // time during which clients send new requests
  PolicySettings policy_settings;  // shared by all gateways; each gateway has its own gateway_index
  GatewayAssignment assignment;
  WorkerModel workers;
  NetworkModel network;
  CounterModel counter;
  ClientModel clients;
  std::vector<RouteTraffic> routes;
  std::vector<PlanDemand> plans;
  std::vector<Fault> faults;

  int gateway_count() const { return policy_settings.gateway_count; }
  // The mean quota units of a request. The units are uniformly distributed between 1 and max_units.
  double mean_units() const { return (1 + policy_settings.max_units) / 2; }
};

// Multiplies the numbers of gateways, workers and customers, and the counter's rate, by `factor`.
void scale(Scenario& scenario, int factor);

}  // namespace ironquay::lab
