#include "policy/request_table.hpp"

namespace ironquay {

Request* RequestTable::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

const Request* RequestTable::find(RequestId id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::erase(RequestId id) {
  dequeue(id);
  clear_deadline(id);
  requests_.erase(id);
}

void RequestTable::set_deadline(RequestId id, Duration deadline) {
  clear_deadline(id);
  requests_.at(id).deadline = deadline;
  deadlines_.insert({deadline, id});
}

void RequestTable::clear_deadline(RequestId id) { deadlines_.erase({requests_.at(id).deadline, id}); }

Duration RequestTable::earliest_deadline() const {
  return deadlines_.empty() ? Duration::max() : deadlines_.begin()->first;
}

void RequestTable::enqueue(RequestId id) {
  Request& request = requests_.at(id);
  request.queued = true;
  queue_.insert({request.queue_rank, id});
}

void RequestTable::dequeue(RequestId id) {
  Request& request = requests_.at(id);
  if (!request.queued) return;
  request.queued = false;
  queue_.erase({request.queue_rank, id});
}

}  // namespace ironquay
