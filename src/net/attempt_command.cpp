#include "net/attempt_command.hpp"

#include <algorithm>
#include <charconv>

#include "net/resp.hpp"

namespace ironquay::net {
namespace {

// Appends the line that gives the length of a bulk string.
void append_length(std::string& out, std::size_t bytes) {
  out.append("$").append(std::to_string(bytes)).append("\r\n");
}

// Appends the attributes of the client's request, with `timeout` in place of the value of `d`, which is the
// client's own timeout.
void append_attributes(std::string& out, std::string_view attributes, Duration timeout) {
  const std::string_view client_timeout = resp::find_field(attributes, "d");
  const auto timeout_offset = static_cast<std::size_t>(client_timeout.data() - attributes.data());
  const auto timeout_ms = std::max<long>(1, std::chrono::ceil<std::chrono::milliseconds>(timeout).count());
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof digits, timeout_ms);
  const std::string_view attempt_timeout(digits, static_cast<std::size_t>(end.ptr - digits));
  append_length(out, attributes.size() - client_timeout.size() + attempt_timeout.size());
  out.append(attributes.substr(0, timeout_offset));
  out.append(attempt_timeout);
  out.append(attributes.substr(timeout_offset + client_timeout.size()));
  out.append("\r\n");
}

}  // namespace

void append_attempt_command(std::string& out, const Exchange& exchange, Duration timeout) {
  resp::append_array_header(out, exchange.request.has_body ? 5 : 4);
  resp::append_bulk_string(out, exchange.request.command);
  resp::append_bulk_string(out, exchange.request.customer);
  resp::append_bulk_string(out, exchange.request.client_request_id);
  append_attributes(out, exchange.request.attributes, timeout);
  if (exchange.request.has_body) resp::append_bulk_string(out, exchange.request.body);
}

}  // namespace ironquay::net
