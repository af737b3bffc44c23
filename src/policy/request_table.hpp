// Holds the open requests, their deadlines and the queue of requests that wait for a worker.
#pragma once
#include <map>
#include <set>
#include <utility>

#include "policy/request.hpp"

namespace ironquay {

class RequestTable {
 public:
  // Adds a request without a deadline; see set_deadline(). The reference is valid until erase().
  Request& insert(RequestId id) { return requests_[id]; }
  // Null if there is no such request.
  Request* find(RequestId id);
  const Request* find(RequestId id) const;
  Request& at(RequestId id) { return requests_.at(id); }
  bool empty() const { return requests_.empty(); }
  // Removes the request, its deadline and its place in the queue.
  void erase(RequestId id);

  // Sets or replaces the request's deadline.
  void set_deadline(RequestId id, Duration deadline);
  // Cancels the deadline of a request whose response has started; Request::deadline keeps its value.
  void clear_deadline(RequestId id);
  // The earliest deadline of all requests; Duration::max() if none is set.
  Duration earliest_deadline() const;
  // The request with the earliest deadline. At least one deadline must be set.
  RequestId earliest_due_request() const { return deadlines_.begin()->second; }

  // Queued requests in ascending order of rank, then id. The first one is sent first.
  using Queue = std::set<std::pair<double, RequestId>>;
  const Queue& queue() const { return queue_; }
  void enqueue(RequestId id);
  // Removes the request from the queue. Does nothing if it is not queued.
  void dequeue(RequestId id);

 private:
  std::map<RequestId, Request> requests_;
  std::set<std::pair<Duration, RequestId>> deadlines_;
  Queue queue_;
};

}  // namespace ironquay
