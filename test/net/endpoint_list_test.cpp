// Parsing of endpoint lists.
#include "net/endpoint_list.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace ironquay::net {
namespace {

using Json = nlohmann::json;

TEST_CASE("an endpoint list has a version and entries") {
  const Json json = {{"seq", 41}, {"whole", true}, {"hosts", Json::array({Json::object()})}};
  const auto list = parse_endpoint_list(json);
  REQUIRE(list);
  REQUIRE(list->version == 41);
  REQUIRE(list->is_full);
  REQUIRE(list->entries->size() == 1);
}

TEST_CASE(
    "a version that is not a number is ignored, and a list that is not marked as full has changes only") {
  const Json json = {{"seq", "41"}, {"hosts", Json::array()}};
  const auto list = parse_endpoint_list(json);
  REQUIRE(list);
  REQUIRE_FALSE(list->version);
  REQUIRE_FALSE(list->is_full);
}

TEST_CASE("JSON without an array of hosts is not an endpoint list") {
  for (const char* text : {"[]", "{}", R"({"hosts":{}})", "null"})
    REQUIRE_FALSE(parse_endpoint_list(Json::parse(text)));
}

TEST_CASE("an endpoint is parsed with all its fields") {
  const Json entry = {
      {"host", "s-0"}, {"dial", "127.0.0.1:6379"}, {"health", "in_service"}, {"site", "a"}, {"block", 3},
      {"share", 0.5},  {"born_ms", 1500}};
  const auto endpoint = parse_endpoint(entry);
  REQUIRE(endpoint);
  REQUIRE(endpoint->name == "s-0");
  REQUIRE(to_string(endpoint->address) == "127.0.0.1:6379");
  REQUIRE(endpoint->status == WorkerStatus::ready);
  REQUIRE(endpoint->zone == "a");
  REQUIRE(endpoint->cell == 3);
  REQUIRE(endpoint->relative_capacity == 0.5);
  REQUIRE(endpoint->started_at == std::chrono::milliseconds(1500));
}

TEST_CASE("a worker whose health is not in_service is draining or gone") {
  const auto status = [](const char* health) {
    return parse_endpoint({{"host", "s-0"}, {"dial", "127.0.0.1:6379"}, {"health", health}})->status;
  };
  REQUIRE(status("terminated") == WorkerStatus::gone);
  REQUIRE(status("draining") == WorkerStatus::draining);
  REQUIRE(status("anything") == WorkerStatus::draining);
}

TEST_CASE("an entry without a name, or ready without an address, is skipped") {
  REQUIRE_FALSE(parse_endpoint(Json("s-0")));
  REQUIRE_FALSE(parse_endpoint({{"dial", "127.0.0.1:6379"}, {"health", "in_service"}}));
  REQUIRE_FALSE(parse_endpoint({{"host", "s-0"}, {"dial", "nowhere"}, {"health", "in_service"}}));
  REQUIRE(parse_endpoint({{"host", "s-0"}, {"dial", "nowhere"}, {"health", "terminated"}}));
}

TEST_CASE("start times out of range are clamped") {
  const auto started_at = [](double born_ms) {
    return parse_endpoint({{"host", "s-0"}, {"dial", "127.0.0.1:1"}, {"born_ms", born_ms}})->started_at;
  };
  REQUIRE(started_at(-5) == Duration(0));
  REQUIRE(started_at(1e300) == started_at(1e14));
}

}  // namespace
}  // namespace ironquay::net
