#include "lab/scenario/scenario_parser.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>

#include "lab/scenario/toml_section.hpp"

namespace ironquay::lab {
namespace {

using namespace std::chrono_literals;

template <typename Value>
using ValuesByName = std::map<std::string, Value, std::less<>>;

const ValuesByName<FaultKind> kFaultKinds = {
    {"worker-slow", FaultKind::worker_slow},
    {"worker-hang", FaultKind::worker_hang},
    {"worker-crash", FaultKind::worker_crash},
    {"worker-vanish", FaultKind::worker_vanish},
    {"worker-error", FaultKind::worker_error},
    {"replace", FaultKind::replace},
    {"list-silent", FaultKind::discovery_silent},
    {"list-overbooked", FaultKind::discovery_overloaded},
    {"counter-refuse", FaultKind::counter_refuse},
    {"counter-silent", FaultKind::counter_silent},
    {"counter-slow", FaultKind::counter_slow},
    {"counter-split", FaultKind::counter_split},
    {"restart", FaultKind::restart},
    {"burst", FaultKind::burst},
};

const ValuesByName<Idempotency> kIdempotencies = {
    {"idempotent", Idempotency::idempotent},
    {"tokened", Idempotency::keyed},
    {"non-idempotent", Idempotency::non_idempotent},
};

// The upper bound of rates (per second), bursts (units) and weights.
constexpr double kMaxRate = 1e9;
// The lowest rate of a quota, in units per second. A quota below this is practically no quota at all.
constexpr double kMinQuotaRate = 1e-3;
// The default of a burst or ceiling burst is the number of units that its rate yields in this time.
constexpr double kDefaultBurstSeconds = 4;
constexpr NumberRange kFractionRange{0, 1};
constexpr NumberRange kRateRange{0, kMaxRate};

// PolicySettings::tick of the gateways, the granularity of their clock.
constexpr Duration kTick = 2ms;

void parse_gateways(TomlSection& section, Scenario& scenario) {
  PolicySettings& settings = scenario.policy_settings;
  settings.gateway_count = section.integer("many", 3, {1, 10'000});
  settings.capabilities.max_attempts = section.integer("tries", 6, {1, 100});
  settings.capabilities.cancel = section.boolean("cancel", true);
  scenario.assignment.spread = section.number("spread", 1, kFractionRange);
  scenario.assignment.skew = section.number("skew", 0.5, {0, 10});
  scenario.assignment.rotation_period = section.duration("shift_ms", 10s);
  if (scenario.assignment.rotation_period <= Duration(0)) section.reject("shift_ms must be greater than 0");
}

void parse_workers(TomlSection& section, Scenario& scenario) {
  WorkerModel& workers = scenario.workers;
  ContractSettings& contract = scenario.policy_settings.contract;
  workers.count = section.integer("many", 10, {1, 100'000});
  workers.cores = section.integer("cores", 3, {1, 1000});
  workers.queue_limit = static_cast<std::size_t>(section.integer("queue", 30, {0, 1'000'000}));
  workers.workers_per_cell = section.integer("cell_size", 4, {1, 100'000});
  workers.runs_cancelled_work = section.boolean("work_goes_on", true);
  contract.initial_capacity_share = section.number("cold_share", 0.25, {0.01, 1});
  contract.slow_start_window = section.duration("warm_after_ms", 15s);
  contract.overload_window = section.duration("fall_ms", 1s);
  workers.overload_multiple = section.number("fall_multiple", 4, {1, 1000});
  workers.drain_grace = section.duration("drain_grace_ms", 500ms);
  workers.connect_timeout = section.duration("connect_timeout_ms", 250ms);
  if (contract.overload_window <= Duration(0)) section.reject("fall_ms must be greater than 0");
}

void parse_network(TomlSection& section, Scenario& scenario) {
  NetworkModel& network = scenario.network;
  network.one_way_latency = section.duration("one_way_ms", 1ms);
  network.discovery_delay = section.duration("list_late_ms", 1s);
  network.gossip_delay = section.duration("peer_late_ms", 15ms);
  network.gossip_loss = section.number("peer_loss", 0.05, kFractionRange);
  scenario.policy_settings.capabilities.gossip_rate_limit = section.number("peer_intake", 40, kRateRange);
}

void parse_counter(TomlSection& section, Scenario& scenario) {
  Capabilities& capabilities = scenario.policy_settings.capabilities;
  capabilities.counter = section.boolean("there", true);
  scenario.counter.rate = section.number("rate", 900, {1, kMaxRate});
  capabilities.counter_timeout = section.duration("limit_ms", 80ms);
}

void parse_clients(TomlSection& section, Scenario& scenario) {
  ClientModel& clients = scenario.clients;
  PolicySettings& settings = scenario.policy_settings;
  clients.max_retries = section.integer("retries", 2, {0, 100});
  clients.backoff = section.duration("backoff_ms", 200ms);
  clients.follow_retry_after_probability = section.number("honours", 0.75, kFractionRange);
  clients.abandon_probability = section.number("impatient", 0, kFractionRange);
  settings.max_units = section.number("most_units", 8, {1, 1000});
  settings.capabilities.retry_after = section.boolean("advice", true);
  settings.capabilities.max_retry_after = section.duration("longest_advice_ms", 500ms);
}

void parse_idempotency(TomlSection& section, Route& route) {
  const auto found = kIdempotencies.find(section.string("repeat", "idempotent"));
  if (found == kIdempotencies.end()) {
    section.reject("repeat must be idempotent, tokened or non-idempotent");
  } else {
    route.idempotency = found->second;
  }
  if (route.idempotency != Idempotency::keyed) return;
  route.dedup_scope = DedupScope::cell;
  route.dedup_window = section.duration("recall_ms", 4s);
}

void parse_route(TomlSection& section, Scenario& scenario) {
  Route route;
  RouteTraffic traffic;
  traffic.name = section.string("name", "route");
  traffic.weight = section.number("part", 1, {1e-6, kMaxRate});
  traffic.mean_work = section.duration("work_ms", 100ms);
  route.latency_objective = section.duration("latency_target_ms", 1s);
  route.client_timeout = section.duration("client_timeout_ms", 3s);
  route.priority_weight = section.number("billed_value", 1, kRateRange);
  parse_idempotency(section, route);
  if (traffic.mean_work <= Duration(0)) section.reject("work_ms must be greater than 0");
  if (route.client_timeout < route.latency_objective)
    section.reject("latency_target_ms must not exceed client_timeout_ms");
  scenario.policy_settings.routes.push_back(route);
  scenario.routes.push_back(traffic);
}

void parse_plan(TomlSection& section, Scenario& scenario) {
  QuotaPlan quota;
  PlanDemand demand;
  demand.name = section.string("name", "plan");
  demand.customers = section.integer("customers", 10, {1, 1'000'000});
  demand.normal_quota_use = section.number("use", 0.5, {0, 100});
  demand.heavy_customer_share = section.number("heavy", 0, kFractionRange);
  demand.heavy_quota_use = section.number("heavy_use", 3, {0, 100});
  quota.rate = section.number("quota", 1, {kMinQuotaRate, kMaxRate});
  quota.burst = section.number("burst", kDefaultBurstSeconds * quota.rate, {1, kMaxRate});
  quota.ceiling_rate = section.number("ceiling", 0, kRateRange);
  quota.ceiling_burst =
      section.number("ceiling_burst", kDefaultBurstSeconds * quota.ceiling_rate, kRateRange);
  quota.overage_cost_share = section.number("beyond_costs", 0.8, kRateRange);
  scenario.policy_settings.plans.push_back(quota);
  scenario.plans.push_back(demand);
}

void parse_fault_workers(TomlSection& section, const Scenario& scenario, Fault& fault) {
  for (const toml::node& node : section.array("workers")) {
    const auto index = node.value<int>();
    if (!node.is_integer() || !index || *index < 0 || *index >= scenario.workers.count)
      section.reject(node, "workers", "must contain indices of existing workers only");
    else
      fault.workers.push_back(*index);
  }
}

void parse_fault_plan(TomlSection& section, const Scenario& scenario, Fault& fault) {
  const std::string name = section.string("plan", "");
  if (name.empty()) return;
  const auto plan = std::find_if(scenario.plans.begin(), scenario.plans.end(),
                                 [&](const PlanDemand& candidate) { return candidate.name == name; });
  if (plan == scenario.plans.end()) section.reject("unknown plan '" + name + "'");
  fault.plan = static_cast<std::size_t>(plan - scenario.plans.begin());
}

// Must be called after the workers and plans have been parsed, because faults refer to them.
void parse_fault(TomlSection& section, Scenario& scenario) {
  Fault fault;
  const std::string kind = section.string("kind", "");
  const auto found = kFaultKinds.find(kind);
  if (found == kFaultKinds.end()) {
    section.reject("unknown kind '" + kind + "'");
  } else {
    fault.kind = found->second;
  }
  fault.start_time = section.duration("at_ms", Duration(0));
  fault.duration = section.duration("length_ms", 1s);
  fault.target_share = section.number("part", 0, kFractionRange);
  fault.factor = section.number("factor", 1, {0, 1000});
  fault.clears_counter = section.boolean("empty", false);
  parse_fault_workers(section, scenario, fault);
  parse_fault_plan(section, scenario, fault);
  if (fault.start_time > scenario.duration) section.reject("at_ms must not exceed the length of the run");
  scenario.faults.push_back(fault);
}

void parse_top_level(const toml::table& root, Scenario& scenario, std::vector<ScenarioIssue>& issues) {
  TomlSection top(root, "", issues);
  const auto parse_table = [&](const char* key, void (*parse)(TomlSection&, Scenario&)) {
    TomlSection section(top.table(key), key, issues);
    parse(section, scenario);
  };
  const auto parse_tables = [&](const char* key, void (*parse)(TomlSection&, Scenario&)) {
    top.for_each_table(key, [&](TomlSection& section) { parse(section, scenario); });
  };
  scenario.name = top.string("name", "unnamed");
  scenario.duration = top.duration("length_ms", 10s);
  if (scenario.duration <= Duration(0)) top.reject("length_ms must be greater than 0");
  scenario.policy_settings.tick = kTick;
  scenario.policy_settings.reports_actual_units = false;
  parse_table("gatekeepers", parse_gateways);
  parse_table("workers", parse_workers);
  parse_table("net", parse_network);
  parse_table("counter", parse_counter);
  parse_table("clients", parse_clients);
  parse_tables("route", parse_route);
  parse_tables("plan", parse_plan);
  parse_tables("fault", parse_fault);
  if (scenario.routes.empty()) top.reject("at least one [[route]] is required");
  if (scenario.plans.empty()) top.reject("at least one [[plan]] is required");
}

toml::table parse_toml(std::string_view text, const std::string& file_name) {
  try {
    return toml::parse(text, file_name);
  } catch (const toml::parse_error& error) {
    throw ScenarioError(file_name, {{error.source().begin.line, "", std::string(error.description())}});
  }
}

}  // namespace

Scenario parse_scenario(std::string_view text, const std::string& file_name) {
  const toml::table root = parse_toml(text, file_name);
  std::vector<ScenarioIssue> issues;
  Scenario scenario;
  parse_top_level(root, scenario, issues);
  if (!issues.empty()) throw ScenarioError(file_name, std::move(issues));
  return scenario;
}

Scenario read_scenario_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": cannot be read");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return parse_scenario(text, path);
}

}  // namespace ironquay::lab
