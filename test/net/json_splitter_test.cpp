// Splitting of a stream of JSON objects that arrives in pieces of any size.
#include "net/json_splitter.hpp"

#include <catch2/catch.hpp>

namespace ironquay::net {
namespace {

/// The output of a splitter for some text.
struct SplitResult {
  std::vector<std::string> objects;
  int lines = 0;  // lines that ended between objects
  bool valid = true;
};

/// Feeds the text to the splitter, `step` bytes at a time, until it reports invalid input.
SplitResult split(JsonSplitter& splitter, std::string_view text, std::size_t step) {
  SplitResult result;
  const auto on_object = [&](std::string_view object) { result.objects.emplace_back(object); };
  const auto on_line = [&] { ++result.lines; };
  for (std::size_t at = 0; at < text.size() && result.valid; at += step)
    result.valid = splitter.feed(text.substr(at, step), on_object, on_line);
  return result;
}

TEST_CASE("objects are split by their structure, over several lines and in pieces of any size") {
  const std::string nested = "{\n \"a\": [1, {\"}\": \"\\\"{\"}],\r\n\"b\": {}\n}";
  const std::string empty = "{}";
  const std::string text = nested + "\r\n\n \t" + empty + empty + "\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    JsonSplitter splitter;
    const SplitResult result = split(splitter, text, step);
    REQUIRE(result.valid);
    REQUIRE(result.objects == std::vector<std::string>{nested, empty, empty});
    REQUIRE(result.lines == 3);
  }
}

TEST_CASE(
    "text that is not an object, nested too deeply or too long is invalid, and so is all that follows") {
  const std::string too_deep = "{\"a\":" + std::string(32, '[');
  const std::string too_long = "{" + std::string(17 << 20, ' ');
  for (const std::string& invalid : {std::string("x"), std::string("]"), too_deep, too_long}) {
    INFO(invalid.substr(0, 40));
    JsonSplitter splitter;
    REQUIRE_FALSE(split(splitter, invalid, invalid.size()).valid);
    const SplitResult after = split(splitter, "{}", 2);
    REQUIRE_FALSE(after.valid);
    REQUIRE(after.objects.empty());
  }
}

}  // namespace
}  // namespace ironquay::net
