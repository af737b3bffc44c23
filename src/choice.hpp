// The gatekeeper's decisions: one call for each thing that happens, Effects for each thing done about it.
#pragma once
#include <string_view>

#include "state.hpp"
#include "terms.hpp"

namespace ironquay {

class Effects {
 public:
  virtual ~Effects() = default;
  virtual void send(CallId call, WorkerId worker, Span limit) = 0;
  virtual void rate_limit(CallId call, Span come_back) = 0;
  virtual void error(CallId call) = 0;
  virtual void cancel(CallId call, std::size_t upstream_try) = 0;
  virtual void wake_at(Span when) = 0;
  virtual void probe(WorkerId worker) = 0;
  virtual void close_idle(WorkerId worker) = 0;
  virtual void tell(int peer, std::string_view bytes) = 0;
  virtual void tell_all(std::string_view bytes) = 0;
  virtual void subscribe(bool on) = 0;
  virtual void fetch_list() = 0;
  virtual void count(std::string_view name, double amount, Span lives) = 0;
  virtual void note(std::string_view text) = 0;
};

// What may still be done with an API call, from its route and its upstream tries.
struct Leave {
  bool send = true;
  bool rate_limit = true;
  const UpstreamTry* bound_to = nullptr;  // a further try must reach a worker that drops this one's repeats
};

class Choice {
 public:
  Choice(Terms terms, std::uint32_t seed, Span now, Effects& effects);

  void list_opens(Span now, ListKind kind);
  void list_names(Span now, WorkerId worker, Phase phase, std::string_view zone, std::int64_t cell,
                  double share, Span started);
  void list_closes(Span now);
  void call_arrives(Span now, CallId call, std::string_view customer, std::size_t route, std::size_t plan,
                    double units, int first, int spread, Span left, bool repeat);
  void answer_starts(Span now, CallId call, std::size_t upstream_try);
  void try_ends(Span now, CallId call, std::size_t upstream_try, WorkerId worker, Outcome outcome, Span took,
                bool finished, double true_units);
  void client_leaves(Span now, CallId call);
  void cut_short(Span now, CallId call, Span left);
  void wakes(Span now);
  void probe_ends(Span now, WorkerId worker, Outcome outcome, Span took);
  void peer_says(Span now, int peer, std::string_view bytes);
  void count_ends(Span now, std::string_view name, Outcome outcome, double total);

  // Whether a try whose bytes had to wait may still be written. Where not, it ends as not sent.
  bool may_still_go(Span now, CallId call, std::size_t upstream_try) const;

  // Steps of the above, open to the tests.
  Leave leave_for(const ApiCall& call) const;
  bool may_take(const ApiCall& call, WorkerId id) const;
  Slice& slice_of(std::string_view customer, std::size_t plan, int spread);
  void refill(Slice& slice);
  void take_for_ends(const CountCall& call, std::string_view name, double total);
  void fill_cold(Worker& worker, bool in_row) const;
  void give_surplus(const std::string& customer, Slice& slice);
  void learn(Worker& worker, const ApiCall& call, Outcome outcome, Span took);

  State state;

 private:
  struct Rule;
  void hear(Span now);
  void settle();
  void judge();
  void wake_later();
  void act_on_agenda();
  void end_due();
  void send_waiting();
  void drop_waiting();
  void stop_waiting(CallId id, ApiCall& call);
  Span recalled_until(const UpstreamTry& first, const Route& route) const;
  std::size_t row() const;
  bool pick(const ApiCall& call, WorkerId& chosen);
  double ramp(const Worker& worker, Span now) const;
  void send_to(CallId id, ApiCall& call, WorkerId worker);
  void give_up(CallId id, Span come_back);
  void forget(CallId id);
  void set_due(CallId id, ApiCall& call, Span due);
  void admit(CallId id, bool inside, double come_back);
  void take_for(CallId id, const ApiCall& call, Slice& slice);
  double part_asking(const ApiCall& call) const;
  double pooled(const Slice& slice) const;
  bool is_dry(const std::string& customer) const;
  void note_dry(std::uint32_t key);
  void tell_dry(const std::string& customer, const Slice& slice);
  void count(std::string_view name, CountCall call, double amount);
  std::string pool_name(const std::string& customer) const;
  double strain() const;
  double first_window() const;
  void learn_pressure(bool answered, bool slow);
  bool let_through(const ApiCall& call);
  Span next_wake() const;
  Span shift_of(const std::string& customer) const;
  double size_of(const ApiCall& call) const;
  std::size_t waiting_limit() const;

  Terms terms_;
  Effects& effects_;
  Span now_{0};
};

}  // namespace ironquay
