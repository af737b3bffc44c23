#include "policy/customer_table.hpp"

namespace ironquay {

QuotaSlice* CustomerTable::find(const std::string& name) {
  const auto found = customers_.find(name);
  return found == customers_.end() ? nullptr : &found->second.slice;
}

QuotaSlice& CustomerTable::insert(const std::string& name) {
  Entry& entry = *customers_.try_emplace(name).first;
  entry.second.idle_position = idle_single_.insert(idle_single_.end(), &entry);
  return entry.second.slice;
}

void CustomerTable::erase(const std::string& name) {
  const auto found = customers_.find(name);
  if (found == customers_.end()) return;
  Customer& customer = found->second;
  remove_from_idle(customer);
  if (customer.rebalance_position) rebalances_.erase(*customer.rebalance_position);
  customers_.erase(found);
}

const std::string* CustomerTable::displaced_by_insertion() const {
  if (customers_.size() < max_customers_) return nullptr;
  if (!idle_single_.empty()) return &idle_single_.front()->first;
  return idle_recurring_.empty() ? nullptr : &idle_recurring_.front()->first;
}

void CustomerTable::request_started(const std::string& name) {
  Entry& entry = *customers_.find(name);
  Customer& customer = entry.second;
  remove_from_idle(customer);
  customer.is_recurring = customer.has_sent_request;
  customer.has_sent_request = true;
  ++customer.open_requests;
}

void CustomerTable::request_ended(const std::string& name) {
  const auto found = customers_.find(name);
  if (found == customers_.end() || found->second.open_requests == 0) return;
  Customer& customer = found->second;
  if (--customer.open_requests > 0) return;
  IdleList& list = idle_list(customer);
  customer.idle_position = list.insert(list.end(), &*found);
}

void CustomerTable::remove_from_idle(Customer& customer) {
  if (!customer.idle_position) return;
  idle_list(customer).erase(*customer.idle_position);
  customer.idle_position.reset();
}

void CustomerTable::schedule_rebalance(const std::string& name, Duration when) {
  Entry& entry = *customers_.find(name);
  Customer& customer = entry.second;
  if (customer.rebalance_position) rebalances_.erase(*customer.rebalance_position);
  customer.rebalance_position = rebalances_.insert(rebalances_.end(), {&entry, when});
}

Duration CustomerTable::next_rebalance() const {
  return rebalances_.empty() ? Duration::max() : rebalances_.front().second;
}

}  // namespace ironquay
