// One command of a client, with its response.
#pragma once
#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

#include "net/exchange.hpp"
#include "net/memory_share.hpp"
#include "net/request_registry.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

class ClientConnection;

// A command in the pipeline of its connection. Every command has a ClientRequest, because responses are sent
// in the order of the commands. A command that is not a request (such as PING) receives its response
// immediately, and its Exchange::request stays empty.
class ClientRequest : public Exchange {
 public:
  // `in_flight_bytes` is the total that the request's memory counts against until the request is destroyed.
  ClientRequest(ClientConnection& connection, RequestRegistry& registry, std::size_t& in_flight_bytes)
      : memory(in_flight_bytes), connection_(&connection), registry_(registry) {}

  void respond_with_value(std::string_view raw_value) override;
  void reject(Duration retry_after) override;
  void fail() override;
  bool client_has_disconnected() const override;
  // Passes the concatenated `parts` to the connection as the response. Does nothing if there is a response
  // already.
  void respond(std::initializer_list<std::string_view> parts);

  // Stores the response until the responses to earlier commands are written.
  void buffer_response(std::initializer_list<std::string_view> parts);
  // Passes the stored response to the caller.
  std::string take_buffered_response();
  bool has_response() const { return has_response_; }

  // Called when the connection drops the request. Responses are ignored from then on.
  void detach_from_connection();
  // The connection that received the command; null after detach_from_connection().
  ClientConnection* connection() const { return connection_; }

  Duration deadline{0};  // when the response is due, in the time of EventLoop::now()
  MemoryShare memory;    // the memory of the request, its bytes and its stored response

 private:
  void unregister_id();

  ClientConnection* connection_;
  RequestRegistry& registry_;
  bool has_response_ = false;
  std::string buffered_response_;
};

}  // namespace ironquay::net
