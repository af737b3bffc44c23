// The interface through which the client side passes requests on.
#pragma once
#include "net/exchange.hpp"

namespace ironquay::net {

// Receives client requests and is notified of changes to them. The listener responds to each
// request through its exchange.
class RequestListener {
 public:
  virtual ~RequestListener() = default;

  // A request has arrived. The listener may respond within this call or later. The exchange is valid until
  // the listener responds, or until on_client_disconnect() returns.
  virtual void on_request(Exchange& exchange) = 0;
  // The client disconnected before the request had a response. A response is no longer possible.
  virtual void on_client_disconnect(Exchange& exchange) = 0;
  // A drain has shortened Exchange::time_left.
  virtual void on_deadline_shortened(Exchange& exchange) = 0;
};

}  // namespace ironquay::net
