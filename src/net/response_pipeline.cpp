#include "net/response_pipeline.hpp"

#include <utility>

#include "net/client_connection.hpp"

namespace ironquay::net {
namespace {

// The memory for a command in the pipeline besides its bytes, with the overhead of the allocations.
constexpr std::size_t kCommandOverheadBytes = sizeof(ClientRequest) + 64;

}  // namespace

ClientRequest& ResponsePipeline::enqueue(ClientConnection& connection) {
  requests_.push_back(
      std::make_unique<ClientRequest>(connection, context_.requests, context_.memory.in_flight_bytes));
  context_.requests.on_enqueued();
  context_.connections.mark_used(connection);
  requests_.back()->memory.add(kCommandOverheadBytes);
  return *requests_.back();
}

bool ResponsePipeline::has_room_for_value(const ClientRequest& request, std::size_t bytes) const {
  const bool is_next = requests_.front().get() == &request;
  return is_next ? context_.memory.has_room_for_next_response(bytes)
                 : context_.memory.has_room_for_response(bytes);
}

bool ResponsePipeline::deliver(ClientRequest& request, std::initializer_list<std::string_view> parts) {
  const bool is_first = requests_.front().get() == &request;
  if (is_first) {
    write_first(parts);
  } else {
    request.buffer_response(parts);
  }
  return is_first;
}

// Writes the response to the first command in the pipeline, and then the buffered responses that directly
// follow it. Their buffers are passed on, so that this takes no further memory.
void ResponsePipeline::write_first(std::initializer_list<std::string_view> parts) {
  in_batch_ ? stream_.enqueue(parts) : stream_.write(parts);
  remove_first();
  while (!requests_.empty() && requests_.front()->has_response()) {
    stream_.enqueue(requests_.front()->take_buffered_response());
    remove_first();
  }
  if (!in_batch_) stream_.flush();
  account_unwritten();
}

// The request keeps its memory, and counts for it, until the registry destroys it.
void ResponsePipeline::remove_first() {
  context_.requests.finish(std::move(requests_.front()));
  requests_.pop_front();
}

void ResponsePipeline::end_batch() {
  in_batch_ = false;
  stream_.flush();
  account_unwritten();
}

void ResponsePipeline::account_unwritten() { unwritten_memory_.set(stream_.unwritten_memory()); }

std::vector<ClientRequest*> ResponsePipeline::open_requests() const {
  std::vector<ClientRequest*> open;
  for (const auto& request : requests_)
    if (!request->has_response()) open.push_back(request.get());
  return open;
}

void ResponsePipeline::release_requests() {
  account_unwritten();
  auto requests = std::move(requests_);
  requests_.clear();
  // All requests are detached before the listener is called, because while it handles one request, it may
  // respond to another.
  for (const auto& request : requests) request->detach_from_connection();
  for (auto& owned : requests) {
    ClientRequest& request = *owned;
    context_.requests.finish(std::move(owned));
    if (request.has_response()) continue;
    context_.abandoned_requests.on_disconnect(request.request.client_request_id, request.request.route,
                                              request.attempts_sent, context_.loop.now());
    context_.listener.on_client_disconnect(request);
  }
}

}  // namespace ironquay::net
