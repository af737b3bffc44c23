#include "net/response_pipeline.hpp"

#include <utility>

#include "net/buffer_memory.hpp"
#include "net/client_connection.hpp"

namespace ironquay::net {
namespace {

// The memory for a command in the pipeline besides its bytes, with the overhead of the allocations.
constexpr std::size_t kCommandOverheadBytes = sizeof(ClientRequest) + 64;

}  // namespace

ClientRequest& ResponsePipeline::enqueue(ClientConnection& connection) {
  requests_.push_back(std::make_unique<ClientRequest>(connection, context_.requests));
  context_.requests.on_enqueued();
  context_.connections.mark_used(connection);
  account(*requests_.back(), kCommandOverheadBytes);
  return *requests_.back();
}

void ResponsePipeline::account(ClientRequest& request, std::size_t bytes) const {
  request.accounted_bytes += bytes;
  context_.memory.in_flight_bytes += bytes;
}

bool ResponsePipeline::has_room_for_value(const ClientRequest& request, std::size_t bytes) const {
  return requests_.front().get() == &request || context_.memory.has_room_for_response(bytes);
}

bool ResponsePipeline::deliver(ClientRequest& request, std::initializer_list<std::string_view> parts) {
  const bool is_first = requests_.front().get() == &request;
  if (is_first) {
    write_first(parts);
  } else {
    account(request, request.buffer_response(parts));
  }
  return is_first;
}

// Writes the response to the first command in the pipeline, and then the buffered responses that directly
// follow it.
void ResponsePipeline::write_first(std::initializer_list<std::string_view> parts) {
  write(parts);
  remove_first();
  while (!requests_.empty() && requests_.front()->has_response()) {
    write({requests_.front()->buffered_response()});
    remove_first();
  }
}

void ResponsePipeline::write(std::initializer_list<std::string_view> parts) {
  if (!in_batch_) return stream_.write(parts);
  for (const std::string_view part : parts) batch_responses_.append(part);
}

void ResponsePipeline::remove_first() {
  context_.memory.in_flight_bytes -= requests_.front()->accounted_bytes;
  context_.requests.finish(std::move(requests_.front()));
  requests_.pop_front();
}

void ResponsePipeline::end_batch() {
  in_batch_ = false;
  if (!batch_responses_.empty()) stream_.write({batch_responses_});
  release_memory(batch_responses_);
}

void ResponsePipeline::account_unwritten() {
  context_.memory.unwritten_bytes += stream_.unwritten_memory() - accounted_unwritten_bytes_;
  accounted_unwritten_bytes_ = stream_.unwritten_memory();
}

std::vector<ClientRequest*> ResponsePipeline::open_requests() const {
  std::vector<ClientRequest*> open;
  for (const auto& request : requests_)
    if (!request->has_response()) open.push_back(request.get());
  return open;
}

void ResponsePipeline::release_requests() {
  context_.memory.unwritten_bytes -= std::exchange(accounted_unwritten_bytes_, 0);
  auto requests = std::move(requests_);
  requests_.clear();
  // All requests are detached before the listener is called, because while it handles one request, it may
  // respond to another.
  for (const auto& request : requests) request->detach_from_connection();
  for (auto& owned : requests) {
    ClientRequest& request = *owned;
    context_.memory.in_flight_bytes -= request.accounted_bytes;
    context_.requests.finish(std::move(owned));
    if (request.has_response()) continue;
    context_.abandoned_requests.on_disconnect(request.request.client_request_id, request.request.route,
                                              request.attempts_sent, context_.loop.now());
    context_.listener.on_client_disconnect(request);
  }
}

}  // namespace ironquay::net
