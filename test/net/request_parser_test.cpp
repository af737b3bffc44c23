// The parser of client requests: the fields it reads, every error it reports, and the text of each error.
#include "net/request_parser.hpp"

#include <catch2/catch.hpp>
#include <initializer_list>
#include <string>
#include <variant>

#include "config/settings_decoder.hpp"
#include "net/exchange.hpp"
#include "support/settings.hpp"

namespace ironquay::net {
namespace {

constexpr std::string_view kCustomer = "00000000000000ab";

resp::Command make_command(std::initializer_list<std::string_view> words) {
  resp::Command command;
  for (const std::string_view word : words) command.words[command.word_count++] = word;
  return command;
}

RequestParseResult parse(CommandType type, std::initializer_list<std::string_view> words) {
  static const DecodedSettings settings = decode_settings(default_settings());
  return parse_request(make_command(words), type, settings);
}

RequestParseResult parse_attributes(std::string_view attributes,
                                    CommandType type = CommandType::idempotent_request) {
  return parse(type, {"CALL.GET", kCustomer, "id", attributes});
}

bool fails_with(const RequestParseResult& result, RequestError expected) {
  const RequestError* error = std::get_if<RequestError>(&result);
  return error && *error == expected;
}

class UnansweredExchange : public Exchange {
 public:
  void respond_with_value(std::string_view) override {}
  void reject(Duration) override {}
  void fail() override {}
  bool client_has_disconnected() const override { return false; }
};

TEST_CASE("command names are matched without regard to case") {
  REQUIRE(command_type("CALL.GET") == CommandType::idempotent_request);
  REQUIRE(command_type("call.post") == CommandType::other_request);
  REQUIRE(command_type("Ping") == CommandType::ping);
  REQUIRE(command_type("CLIENT") == CommandType::session);
  REQUIRE(command_type("select") == CommandType::session);
  REQUIRE(command_type("quit") == CommandType::quit);
  for (const std::string_view name : {"", "CALL", "CALL.GETS", "FLUSHALL"})
    REQUIRE(command_type(name) == CommandType::unknown);
}

TEST_CASE("all fields of a request are parsed") {
  const std::string_view attributes = "c=order,t=small,k=key,d=1500.5,r=1,units=2.5,spread=2,first=1,x=y";
  const auto result = parse(CommandType::other_request, {"CALL.POST", kCustomer, "id-1", attributes, "body"});
  const RequestMessage& request = std::get<RequestMessage>(result);
  REQUIRE(request.command == "CALL.POST");
  REQUIRE(request.customer == kCustomer);
  REQUIRE(request.client_request_id == "id-1");
  REQUIRE(request.attributes == attributes);
  REQUIRE(request.has_body);
  REQUIRE(request.body == "body");
  REQUIRE(request.route == 1);
  REQUIRE(request.plan == 1);
  REQUIRE(request.timeout == std::chrono::microseconds(1500500));
  REQUIRE(request.units == 2.5);
  REQUIRE(request.gateway_spread == 2);
  REQUIRE(request.first_gateway == 1);
  REQUIRE(request.is_retry);
}

TEST_CASE("optional fields have defaults, and the timeout is limited by the route") {
  const RequestMessage request =
      std::get<RequestMessage>(parse_attributes("c=lookup,t=team,d=60000,units=1"));
  REQUIRE_FALSE(request.has_body);
  REQUIRE(request.body.empty());
  REQUIRE(request.timeout == std::chrono::seconds(3));
  REQUIRE(request.gateway_spread == 1);
  REQUIRE(request.first_gateway == 0);
  REQUIRE_FALSE(request.is_retry);
}

TEST_CASE("each invalid part of a request is reported with its own error") {
  const auto read = CommandType::idempotent_request;
  const auto write = CommandType::other_request;
  const std::string_view valid = "c=lookup,t=team,d=1,units=1";
  REQUIRE(fails_with(parse(read, {"CALL.GET", kCustomer, "id"}), RequestError::wrong_word_count));
  REQUIRE(
      fails_with(parse(read, {"CALL.GET", kCustomer, "id", valid, "", ""}), RequestError::wrong_word_count));
  for (const std::string_view customer : {"", "ab", "00000000000000xy", "000000000000000ab"})
    REQUIRE(fails_with(parse(read, {"CALL.GET", customer, "id", valid}), RequestError::invalid_customer));
  const std::string long_id(65, 'x');
  for (const std::string_view id : {std::string_view(""), std::string_view("a b"), std::string_view(long_id)})
    REQUIRE(fails_with(parse(read, {"CALL.GET", kCustomer, id, valid}), RequestError::invalid_request_id));
  REQUIRE(fails_with(parse_attributes("t=team,d=1,units=1"), RequestError::unknown_route));
  REQUIRE(fails_with(parse_attributes("c=lookup,t=none,d=1,units=1"), RequestError::unknown_plan));
  REQUIRE(fails_with(parse_attributes(valid, write), RequestError::wrong_command_for_route));
  REQUIRE(
      fails_with(parse_attributes("c=pay,t=team,d=1,units=1", read), RequestError::wrong_command_for_route));
  REQUIRE(fails_with(parse_attributes("c=order,t=team,d=1,units=1", write),
                     RequestError::missing_idempotency_key));
  for (const std::string timeout : {"", "x", "1x", "3600001", "-3600001", "nan"})
    REQUIRE(
        fails_with(parse_attributes("c=lookup,t=team,units=1,d=" + timeout), RequestError::invalid_timeout));
  for (const std::string units : {"", "0", "-1", "8.5", "1x", "nan"})
    REQUIRE(fails_with(parse_attributes("c=lookup,t=team,d=1,units=" + units), RequestError::invalid_units));
  const std::string valid_text(valid);
  for (const std::string spread : {"0", "3", "x"})
    REQUIRE(
        fails_with(parse_attributes(valid_text + ",spread=" + spread), RequestError::invalid_gateway_spread));
  for (const std::string first : {"-1", "2", "x"})
    REQUIRE(
        fails_with(parse_attributes(valid_text + ",first=" + first), RequestError::invalid_first_gateway));
  REQUIRE(fails_with(parse_attributes(valid_text + ",spread=1,first=1"), RequestError::wrong_gateway));
}

TEST_CASE("each error has a fixed response text") {
  const std::pair<RequestError, std::string_view> texts[] = {
      {RequestError::wrong_word_count, "-ERR wrong number of arguments\r\n"},
      {RequestError::invalid_customer, "-ERR no such customer\r\n"},
      {RequestError::invalid_request_id, "-ERR no id\r\n"},
      {RequestError::unknown_route, "-ERR no such class\r\n"},
      {RequestError::unknown_plan, "-ERR no such plan\r\n"},
      {RequestError::wrong_command_for_route, "-ERR this class has another command\r\n"},
      {RequestError::missing_idempotency_key, "-ERR this class needs a key\r\n"},
      {RequestError::invalid_timeout, "-ERR d is no time\r\n"},
      {RequestError::invalid_units, "-ERR units is out of range\r\n"},
      {RequestError::invalid_gateway_spread, "-ERR spread is no number of gatekeepers\r\n"},
      {RequestError::invalid_first_gateway, "-ERR first is no gatekeeper's number\r\n"},
      {RequestError::wrong_gateway, "-ERR not in the set of this customer\r\n"},
      {RequestError::duplicate_request_id, "-ERR this id is open already\r\n"}};
  for (const auto& [error, text] : texts) REQUIRE(error_response(error) == text);
}

TEST_CASE("an exchange that has copied its buffers does not depend on the buffer it was parsed from") {
  UnansweredExchange exchange;
  std::string command = "CALL.POST|customer|id|c=pay|body";
  const std::string_view words = command;
  exchange.request.command = words.substr(0, 9);
  exchange.request.customer = words.substr(10, 8);
  exchange.request.client_request_id = words.substr(19, 2);
  exchange.request.attributes = words.substr(22, 5);
  exchange.request.body = words.substr(28, 4);
  REQUIRE_FALSE(exchange.owns_buffers());
  exchange.copy_buffers();
  REQUIRE(exchange.owns_buffers());
  command.assign(command.size(), '#');
  REQUIRE(exchange.request.command == "CALL.POST");
  REQUIRE(exchange.request.customer == "customer");
  REQUIRE(exchange.request.client_request_id == "id");
  REQUIRE(exchange.request.attributes == "c=pay");
  REQUIRE(exchange.request.body == "body");
}

}  // namespace
}  // namespace ironquay::net
