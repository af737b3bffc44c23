// A client's request, with the functions to respond to it.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "net/request_message.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// An exchange ends with exactly one of the three responses, or when its client disconnects.
class Exchange {
 public:
  virtual ~Exchange() = default;

  // Responds with a worker's value. `raw_value` is in wire format and is forwarded unchanged.
  virtual void respond_with_value(std::string_view raw_value) = 0;
  // Responds that the request was not executed. A positive `retry_after` advises the client when to retry; it
  // is rounded up to milliseconds. Zero gives no advice.
  virtual void reject(Duration retry_after) = 0;
  // Responds with an error. The client cannot tell from it whether the request was executed.
  virtual void fail() = 0;

  // Whether the client has closed its connection, even if the gateway has not handled this event yet. Makes a
  // system call.
  virtual bool client_has_disconnected() const = 0;

  // Copies the text that the views in `request` point to, and makes the views point to the copy. Without this
  // call, the views are valid only until RequestListener::on_request() returns.
  void copy_buffers();
  bool owns_buffers() const { return !buffer_.empty(); }

  RequestId id = 0;  // assigned by the listener
  RequestMessage request;
  // The time until the client times out, as of the listener's last notification about this exchange.
  Duration time_left{0};
  std::size_t attempts_sent = 0;  // attempts sent to workers; maintained by the listener

 private:
  std::string buffer_;
};

}  // namespace ironquay::net
