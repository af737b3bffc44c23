// The RESP parsers: client commands, worker replies, and lists of fields.
#include <catch2/catch.hpp>

#include "net/resp.hpp"

namespace ironquay::net {
namespace {

using resp::ParseStatus;

TEST_CASE("a command is incomplete until its last byte has arrived") {
  const std::string text = "*3\r\n$8\r\nCALL.GET\r\n$0\r\n\r\n$4\r\na\r\nb\r\n";
  resp::Command command;
  for (std::size_t size = 0; size < text.size(); ++size)
    REQUIRE(resp::parse_command(text.substr(0, size), command) == ParseStatus::incomplete);
  const std::string with_next_command = text + "*1";
  REQUIRE(resp::parse_command(with_next_command, command) == ParseStatus::complete);
  REQUIRE(command.wire_bytes == text.size());
  REQUIRE(command.word_count == 3);
  REQUIRE(command.words[0] == "CALL.GET");
  REQUIRE(command.words[1].empty());
  REQUIRE(command.words[2] == "a\r\nb");
}

TEST_CASE("bytes that cannot become a valid command are malformed immediately") {
  resp::Command command;
  for (const char* text :
       {"PING\r\n", "*0\r\n", "*-1\r\n", "*17\r\n", "*1x\r\n", "*1\n", "*1\r\n+a\r\n", "*1\r\n$-1\r\n",
        "*1\r\n$65537\r\n", "*1\r\n$2\r\nabcd", "*1\r\n$1\r\nab\r\n", "*11111111111111111"}) {
    INFO(text);
    REQUIRE(resp::parse_command(text, command) == ParseStatus::malformed);
  }
  const std::string longest = "*1\r\n$65536\r\n" + std::string(65536, 'x') + "\r\n";
  REQUIRE(resp::parse_command(longest, command) == ParseStatus::complete);
  REQUIRE(resp::parse_command("*2" + longest.substr(2) + longest.substr(4), command) ==
          ParseStatus::malformed);
}

TEST_CASE("a worker reply is incomplete until its last byte has arrived") {
  const std::string text = "*3\r\n$2\r\nok\r\n$-1\r\n$14\r\nused=37,cost=4\r\n";
  resp::Reply reply;
  for (std::size_t size = 0; size < text.size(); ++size)
    REQUIRE(resp::parse_reply(text.substr(0, size), reply) == ParseStatus::incomplete);
  REQUIRE(resp::parse_reply(text, reply) == ParseStatus::complete);
  REQUIRE(reply.element_count == 3);
  REQUIRE(reply.elements[0].raw == "$2\r\nok\r\n");
  REQUIRE(reply.elements[1].is_null);
  REQUIRE(resp::find_field(reply.elements[2].text, "cost") == "4");
}

TEST_CASE("the elements after the value may be lines, but must be complete and well formed") {
  resp::Reply reply;
  REQUIRE(resp::parse_reply("*3\r\n$1\r\nv\r\n:5\r\n+x=\r\n", reply) == ParseStatus::complete);
  REQUIRE(reply.elements[1].text == "5");
  REQUIRE(reply.element_count == 3);
  REQUIRE(resp::parse_reply("*3\r\n$1\r\nv\r\n$3x\r\n", reply) == ParseStatus::malformed);
  REQUIRE(resp::parse_reply("*3\r\n$1\r\nv\r\n!\r\n$-1\r\n", reply) == ParseStatus::malformed);
  REQUIRE(resp::parse_reply("*3\r\n$1\r\nv\r\n$9\r\nu", reply) == ParseStatus::incomplete);
  REQUIRE(resp::parse_reply("*3\r\n$3000000000\r\n", reply) == ParseStatus::malformed);
}

TEST_CASE("error, bulk string and null replies are parsed, invalid replies are malformed") {
  resp::Reply reply;
  REQUIRE(resp::parse_reply("-ERR failed used=3 inflight=7\r\n", reply) == ParseStatus::complete);
  REQUIRE(reply.type == '-');
  REQUIRE(reply.text == "ERR failed used=3 inflight=7");
  REQUIRE(resp::parse_reply("$2\r\n-3\r\n+", reply) == ParseStatus::complete);
  REQUIRE(reply.text == "-3");
  REQUIRE(reply.wire_bytes == 8);
  REQUIRE(resp::parse_reply("$-1\r\n", reply) == ParseStatus::complete);
  REQUIRE(reply.is_null);
  for (const std::string text : {"HTTP", "*5\r\n", "*1\r\n*0\r\n", "$x\r\n"})
    REQUIRE(resp::parse_reply(text, reply) == ParseStatus::malformed);
  REQUIRE(resp::parse_reply("-" + std::string(5000, 'x'), reply) == ParseStatus::malformed);
}

TEST_CASE("a field is found only by its complete name") {
  REQUIRE(resp::find_field("d=1,id=2", "d") == "1");
  REQUIRE(resp::find_field("id=2,d=", "d").empty());
  REQUIRE(resp::find_field("id=2,d=3", "d") == "3");
  REQUIRE(resp::find_field("", "d").empty());
}

}  // namespace
}  // namespace ironquay::net
