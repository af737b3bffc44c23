// The path of the responses of one client connection, from the requests to the stream.
#pragma once
#include <cstddef>
#include <deque>
#include <initializer_list>
#include <memory>
#include <string_view>
#include <vector>

#include "net/client_context.hpp"
#include "net/client_request.hpp"
#include "net/memory_share.hpp"
#include "net/tcp_stream.hpp"

namespace ironquay::net {

class ClientConnection;

// Owns the commands of a connection whose responses are not written yet, and writes the responses in the
// order of the commands. A response that is ready early is buffered in its request.
class ResponsePipeline {
 public:
  // Both references must outlive the pipeline.
  ResponsePipeline(ClientContext& context, TcpStream& stream)
      : context_(context), stream_(stream), unwritten_memory_(context.memory.unwritten_bytes) {}

  // Adds a command that the connection has received.
  ClientRequest& enqueue(ClientConnection& connection);
  // Writes the response to `request` and the buffered responses that directly follow it, or buffers the
  // response if earlier commands have none yet. `parts` are concatenated. Returns whether it was written.
  bool deliver(ClientRequest& request, std::initializer_list<std::string_view> parts);
  // Whether there is memory to keep a value of this size until it is written.
  bool has_room_for_value(const ClientRequest& request, std::size_t bytes) const;

  // Responses that are written between begin_batch() and end_batch() are passed to the system together.
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
  void remove_first();

  ClientContext& context_;
  TcpStream& stream_;
  // The commands whose responses are not written yet, in the order in which they were received.
  std::deque<std::unique_ptr<ClientRequest>> requests_;
  bool in_batch_ = false;
  MemoryShare unwritten_memory_;  // the memory of the stream's unwritten bytes
};

}  // namespace ironquay::net
