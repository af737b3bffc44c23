#include "messages.hpp"

#include <sstream>

#include "net/resp.hpp"

namespace ironquay::net {
namespace {

std::string timeout_field(int milliseconds) { return ",d=" + std::to_string(milliseconds); }

std::string get(std::string_view id, std::string_view attributes) {
  return resp_array({"CALL.GET", kCustomer, id, attributes});
}

std::string post(std::string_view id, std::string_view attributes) {
  return resp_array({"CALL.POST", kCustomer, id, attributes, "BODY"});
}

}  // namespace

std::string resp_array(std::initializer_list<std::string_view> words) {
  std::string out;
  resp::append_array_header(out, words.size());
  for (const std::string_view word : words) resp::append_bulk_string(out, word);
  return out;
}

std::string bulk_string(std::string_view text) {
  std::string out;
  resp::append_bulk_string(out, text);
  return out;
}

std::string lookup_request(std::string_view id, std::string_view attributes) { return get(id, attributes); }

std::string lookup_with_timeout(std::string_view id, int timeout_ms) {
  return get(id, "c=lookup,t=team,units=2,spread=1,first=0" + timeout_field(timeout_ms));
}

std::string small_plan_lookup(std::string_view id, int units, int timeout_ms) {
  return get(id,
             "c=lookup,t=small,spread=2,first=0,units=" + std::to_string(units) + timeout_field(timeout_ms));
}

std::string pay_request(std::string_view id, int timeout_ms) {
  return post(id, "c=pay,t=team,units=2,spread=1,first=0" + timeout_field(timeout_ms));
}

std::string order_request(std::string_view id, int timeout_ms) {
  return post(id, "c=order,t=team,k=q,units=2,spread=1,first=0" + timeout_field(timeout_ms));
}

std::string worker_reply(std::string_view value) { return "*3\r\n" + bulk_string(value) + "$-1\r\n$-1\r\n"; }

std::string http_chunk(std::string_view body) {
  std::ostringstream out;
  out << std::hex << body.size() << "\r\n" << body << "\r\n";
  return out.str();
}

std::string watch_event(const nlohmann::json& object) { return http_chunk(object.dump() + "\n"); }

}  // namespace ironquay::net
