// The interface through which the load balancer requests actions from the program that runs it.
#pragma once
#include <cstddef>
#include <string_view>

#include "policy/types.hpp"

namespace ironquay {

// The implementation must not call the load balancer from within these functions.
class Effects {
 public:
  virtual ~Effects() = default;

  // Sends the next attempt of a request to the worker. The attempt times out after `timeout`.
  virtual void send_attempt(RequestId request, WorkerId worker, Duration timeout) = 0;
  // Cancels an attempt in flight. `attempt`: index among the request's attempts.
  virtual void cancel_attempt(RequestId request, std::size_t attempt) = 0;
  // Answers the client with a rejection, which promises that sending the request again is safe. `retry_after`
  // is the time after which the client is advised to retry; zero gives no advice.
  virtual void reject(RequestId request, Duration retry_after) = 0;
  // Answers the client with an error. Unlike a rejection, it does not promise that sending the request again
  // is safe.
  virtual void fail(RequestId request) = 0;
  // Reports why the request is about to be answered by reject() or fail(), for the log. `attempts`: the
  // number of attempts that were sent.
  virtual void report_unserved(RequestId /*request*/, UnservedReason /*reason*/, std::size_t /*attempts*/) {}
  // Requests a call of LoadBalancer::on_timer() at time `when`. This replaces the previous timer.
  virtual void set_timer(Duration when) = 0;
  // Sends the worker a health check. LoadBalancer::on_health_check_end() reports its result.
  virtual void check_health(WorkerId worker) = 0;
  // Closes the gateway's idle connections to the worker.
  virtual void close_idle_connections(WorkerId worker) = 0;
  // Sends a gossip message to the gateway with index `peer`.
  virtual void send_gossip(int peer, std::string_view bytes) = 0;
  // Sends a gossip message to all other gateways.
  virtual void broadcast_gossip(std::string_view bytes) = 0;
  // Starts the delivery of endpoint lists by discovery if `on` is true; ends it otherwise.
  virtual void subscribe_endpoints(bool on) = 0;
  // Requests one endpoint list.
  virtual void poll_endpoints() = 0;
  // Adds `amount` units to a named count on the counter service; a negative amount subtracts them.
  // LoadBalancer::on_counter_reply() reports the result. The name expires `lifetime` after its first use.
  virtual void add_to_counter(std::string_view name, double amount, Duration lifetime) = 0;
  // Writes a line to the gateway's log.
  virtual void log_note(std::string_view text) = 0;
};

}  // namespace ironquay
