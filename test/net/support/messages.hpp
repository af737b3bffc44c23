// Messages in wire format: client requests, replies of workers and of the counter, and events of a watch.
#pragma once
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace ironquay::net {

constexpr const char* kPing = "*1\r\n$4\r\nPING\r\n";
constexpr const char* kPong = "+PONG\r\n";
constexpr const char* kProtocolError = "-ERR Protocol error\r\n";
/// The response to a request that has failed. The request may have been executed.
constexpr const char* kFailed = "-ERR failed\r\n";
constexpr const char* kDuplicateId = "-ERR this id is open already\r\n";
/// An incomplete command: only its first bytes.
constexpr const char* kPartialCommand = "*4\r\n$8\r\nCALL";

/// The customer id of all requests below.
constexpr const char* kCustomer = "00000000b4d65521";

/// A RESP array of bulk strings.
std::string resp_array(std::initializer_list<std::string_view> words);
/// A RESP bulk string. The counter replies in this form, with a total as text.
std::string bulk_string(std::string_view text);

/// A request on an idempotent route. `attributes` are its fields, such as "c=lookup,t=team,d=1500".
std::string lookup_request(std::string_view id,
                           std::string_view attributes = "c=lookup,t=team,d=1500,units=2,spread=1,first=0");
/// A lookup request with this client timeout.
std::string lookup_with_timeout(std::string_view id, int timeout_ms);
/// A lookup request on the plan "small". The gateway's quota slice does not cover its units, so the gateway
/// calls the counter.
std::string small_plan_lookup(std::string_view id, int units = 8, int timeout_ms = 1500);
/// A request on a non-idempotent route.
std::string pay_request(std::string_view id, int timeout_ms = 1500);
/// A request on a keyed route, with the idempotency key "q".
std::string order_request(std::string_view id, int timeout_ms = 1500);

/// A worker's successful reply with this value, without a load report and a cost.
std::string worker_reply(std::string_view value);

constexpr const char* kHttpOk = "HTTP/1.1 200 OK\r\n\r\n";
constexpr const char* kHttpOkChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// An HTTP chunk with this body.
std::string http_chunk(std::string_view body);
/// An event of a watch: one chunk that consists of a line with the object.
std::string watch_event(const nlohmann::json& object);

}  // namespace ironquay::net
