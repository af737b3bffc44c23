#include "net/client_request.hpp"

#include <charconv>
#include <chrono>
#include <utility>

#include "net/buffer_memory.hpp"
#include "net/client_connection.hpp"

namespace ironquay::net {

void ClientRequest::respond_with_value(std::string_view raw_value) {
  const bool is_open = connection_ && !has_response_;
  if (is_open && !connection_->has_room_for_value(*this, raw_value.size())) return fail();
  respond({raw_value});
}

void ClientRequest::reject(Duration retry_after) {
  if (retry_after <= Duration(0)) return respond({"-BUSY\r\n"});
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  char digits[32];
  const auto* const end = std::to_chars(digits, digits + sizeof digits, milliseconds).ptr;
  respond({"-BUSY ", std::string_view(digits, static_cast<std::size_t>(end - digits)), "\r\n"});
}

void ClientRequest::fail() { respond({"-ERR failed\r\n"}); }

bool ClientRequest::client_has_disconnected() const {
  return !connection_ || connection_->peer_has_disconnected();
}

void ClientRequest::respond(std::initializer_list<std::string_view> parts) {
  if (std::exchange(has_response_, true)) return;
  unregister_id();
  if (connection_) connection_->deliver_response(*this, parts);
}

void ClientRequest::buffer_response(std::initializer_list<std::string_view> parts) {
  std::size_t total_size = 0;
  for (const std::string_view part : parts) total_size += part.size();
  buffered_response_.reserve(total_size);
  for (const std::string_view part : parts) buffered_response_.append(part);
  memory.add(allocated_bytes(buffered_response_));
}

std::string ClientRequest::take_buffered_response() {
  memory.subtract(allocated_bytes(buffered_response_));
  return std::move(buffered_response_);
}

void ClientRequest::detach_from_connection() {
  if (!has_response_) unregister_id();
  connection_ = nullptr;
}

// Removes the id from the registry. Only requests that own their buffers are registered.
void ClientRequest::unregister_id() {
  if (connection_ && owns_buffers()) registry_.unregister_id(request.client_request_id);
}

}  // namespace ironquay::net
