// The customers for which quota state is kept, up to a maximum number.
//
// A customer that would exceed the maximum takes the place of another one. Customers that have sent a single
// request go first, the one that has been idle for longest before the others, so that a flood under ever new
// names does not displace the customers that return. A customer with an open request stays.
#pragma once
#include <cstddef>
#include <limits>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "policy/quota_slice.hpp"

namespace ironquay {

class CustomerTable {
 public:
  // Holds at most `max_customers`, unless more than that have open requests.
  explicit CustomerTable(std::size_t max_customers = std::numeric_limits<std::size_t>::max())
      : max_customers_(max_customers) {}

  // Null if the customer is not in the table.
  QuotaSlice* find(const std::string& name);
  // Throws std::out_of_range if the customer is not in the table.
  QuotaSlice& at(const std::string& name) { return customers_.at(name).slice; }
  // Adds a customer that is not in the table. Its slice has its initial values.
  QuotaSlice& insert(const std::string& name);
  void erase(const std::string& name);
  std::size_t size() const { return customers_.size(); }

  // The customer that must be erased before another one is inserted; null if there is room, or if all
  // customers have open requests.
  const std::string* displaced_by_insertion() const;
  // A request of the customer has arrived. The customer stays in the table until request_ended().
  void request_started(const std::string& name);
  // Does nothing if the customer has no open request.
  void request_ended(const std::string& name);

  // Schedules the customer's next rebalance, at a time that is not before any other that was scheduled.
  void schedule_rebalance(const std::string& name, Duration when);
  // The time of the earliest rebalance; Duration::max() if none is scheduled.
  Duration next_rebalance() const;
  // The customer with the earliest rebalance. At least one must be scheduled.
  const std::string& next_to_rebalance() const { return rebalances_.front().first->first; }

 private:
  struct Customer;
  using Entry = std::pair<const std::string, Customer>;
  using IdleList = std::list<const Entry*>;
  using RebalanceList = std::list<std::pair<const Entry*, Duration>>;

  struct Customer {
    QuotaSlice slice;
    std::size_t open_requests = 0;
    bool has_sent_request = false;
    bool is_recurring = false;  // it has sent more than one request
    std::optional<IdleList::iterator> idle_position;
    std::optional<RebalanceList::iterator> rebalance_position;
  };

  IdleList& idle_list(const Customer& customer) {
    return customer.is_recurring ? idle_recurring_ : idle_single_;
  }
  void remove_from_idle(Customer& customer);

  std::size_t max_customers_;
  std::unordered_map<std::string, Customer> customers_;
  // The customers without open requests, the one that has been idle for longest first.
  IdleList idle_single_;      // those that have sent at most one request
  IdleList idle_recurring_;   // all others
  RebalanceList rebalances_;  // in the order of their times
};

}  // namespace ironquay
