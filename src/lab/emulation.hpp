// Puts gatekeepers, clients and the models around them together and runs a scenario in simulated time.
#pragma once
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "choice.hpp"
#include "rules.hpp"
#include "scenario.hpp"

namespace ironquay::lab {

// What decides in a gatekeeper: Choice, or a double of it in tests.
class Decider {
 public:
  virtual ~Decider() = default;
  virtual void list_opens(Span now, ListKind kind) = 0;
  virtual void list_names(Span now, WorkerId worker, Phase phase, std::int64_t cell, Span started) = 0;
  virtual void list_closes(Span now) = 0;
  virtual void call_arrives(Span now, CallId call, const std::string& customer, std::size_t route,
                            std::size_t plan, double units, int first, int spread, Span left,
                            bool repeat) = 0;
  virtual void try_ends(Span now, CallId call, std::size_t upstream_try, WorkerId worker, Outcome outcome,
                        Span took, bool finished) = 0;
  virtual void client_leaves(Span now, CallId call) = 0;
  virtual void wakes(Span now) = 0;
  virtual void peer_says(Span now, int peer, const std::string& bytes) = 0;
  virtual void count_ends(Span now, const std::string& name, Outcome outcome, double total) = 0;
};

using MakeDecider = std::function<std::unique_ptr<Decider>(Terms, std::uint32_t seed, Span now, Effects&)>;
std::unique_ptr<Decider> make_choice(Terms terms, std::uint32_t seed, Span now, Effects& effects);

// Runs to the scenario's end or to the first broken rule. The same scenario and seed give the same figures.
nlohmann::ordered_json emulate(const Scenario& scenario, std::uint32_t seed,
                               const MakeDecider& make = make_choice);

}  // namespace ironquay::lab
