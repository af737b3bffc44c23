// The counter service of the emulator: named totals to which gateways add amounts.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "lab/emulator/event_queue.hpp"
#include "lab/scenario/scenario.hpp"
#include "policy/types.hpp"

namespace ironquay::lab {

// Executes one call at a time, at a fixed rate. During a counter_split fault, gateways with an odd index
// reach a second replica, which starts empty.
class EmulatedCounter {
 public:
  // Receives the result of a call when the reply reaches the gateway, or when the call times out. `total` is
  // the total after the addition, in units; it is meaningful only if the outcome is `success`.
  using OnResult = std::function<void(Outcome, double total)>;

  // The references must outlive this object.
  EmulatedCounter(EventQueue& events, const Scenario& scenario) : events_(events), scenario_(scenario) {}

  // Adds `amount` to the total `name`. The total expires `lifetime` after its first use. A call that times
  // out at the gateway is still executed, unless a fault prevents that.
  void add(int gateway, std::string_view name, double amount, Duration lifetime, const OnResult& on_result);
  // Begins a fault of one of the counter_* kinds, which ends after its duration.
  void inject(const Fault& fault);
  // The number of calls to add(), including those that failed.
  std::uint64_t calls() const { return calls_; }

 private:
  struct Total {
    double value = 0;  // units
    Duration expires_at{0};
  };
  struct Replica {
    Duration busy_until{0};  // when the last queued call has been executed
    std::map<std::string, Total> totals;
  };

  Replica& replica_for(int gateway) { return replicas_[split_ ? gateway % 2 : 0]; }
  double execute(Replica& replica, const std::string& name, double amount, Duration lifetime);
  void begin_fault(const Fault& fault);
  void end_fault(FaultKind kind, bool clears_counter);

  EventQueue& events_;
  const Scenario& scenario_;
  Replica replicas_[2];    // the second one is used only during a counter_split fault
  bool split_ = false;     // whether a counter_split fault is active
  bool refusing_ = false;  // whether a counter_refuse fault is active
  bool silent_ = false;    // whether a counter_silent fault is active
  double slowdown_ = 1;    // multiplies the execution time of a call
  std::uint64_t calls_ = 0;
};

}  // namespace ironquay::lab
