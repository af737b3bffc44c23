// The path of the responses of one client connection, from the requests to the stream.
#pragma once
#include <cstddef>
#include <deque>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/client_context.hpp"
#include "net/client_request.hpp"
#include "net/tcp_stream.hpp"

namespace ironquay::net {

class ClientConnection;

// Owns the commands of a connection whose responses are not written yet, and writes the responses in the
// order of the commands. A response that is ready early is buffered in its request.
class ResponsePipeline {
 public:
  // Both references must outlive the pipeline.
  ResponsePipeline(ClientContext& context, TcpStream& stream) : context_(context), stream_(stream) {}

  // Adds a command that the connection has received.
  ClientRequest& enqueue(ClientConnection& connection);
  // Counts `bytes` against the memory limit until the request is removed from the pipeline.
  void account(ClientRequest& request, std::size_t bytes) const;
  // Writes the response to `request` and the buffered responses that directly follow it, or buffers the
  // response if earlier commands have none yet. `parts` are concatenated. Returns whether it was written.
  bool deliver(ClientRequest& request, std::initializer_list<std::string_view> parts);
  // Whether a value of this size can be delivered: it can be written at once, or there is memory to keep it.
  bool has_room_for_value(const ClientRequest& request, std::size_t bytes) const;

  // Responses that are written between begin_batch() and end_batch() are passed to the stream together.
  void begin_batch() { in_batch_ = true; }
  void end_batch();
  bool in_batch() const { return in_batch_; }

  // Removes all requests. The listener is notified of those that have no response yet.
  void release_requests();
  // Updates the memory that the unwritten responses count for.
  void account_unwritten();

  bool empty() const { return requests_.empty(); }
  std::size_t size() const { return requests_.size(); }
  // Returns the requests without a response.
  std::vector<ClientRequest*> open_requests() const;

 private:
  void write_first(std::initializer_list<std::string_view> parts);
  void write(std::initializer_list<std::string_view> parts);
  void remove_first();

  ClientContext& context_;
  TcpStream& stream_;
  // The commands whose responses are not written yet, in the order in which they were received.
  std::deque<std::unique_ptr<ClientRequest>> requests_;
  std::string batch_responses_;  // written in the current batch
  bool in_batch_ = false;
  std::size_t accounted_unwritten_bytes_ = 0;  // this connection's share of ClientMemory::unwritten_bytes
};

}  // namespace ironquay::net
