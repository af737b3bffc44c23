// Gossip datagrams between gateways.
#include <array>

#include "support/deployment.hpp"

namespace ironquay::net {
namespace {

TEST_CASE("an exhausted pool is gossiped to the other gateway, and oversized datagrams are ignored") {
  Deployment deployment;
  TestConnection client = deployment.ready_client();
  TestConnection counter = deployment.counter.accept();
  const std::string oversized(300, '1');
  sendto(deployment.peer_socket().get(), oversized.data(), oversized.size(), 0,
         reinterpret_cast<const sockaddr*>(&deployment.gossip_address()), sizeof(Address));
  client.send(small_plan_lookup("1"));
  counter.answer_command(bulk_string("1000000"));
  REQUIRE_THAT(client.receive_line(), StartsWith("-BUSY "));
  REQUIRE(readable(deployment.peer_socket(), kWaitTimeout));
  std::array<char, 300> datagram;
  const ssize_t size = recv(deployment.peer_socket().get(), datagram.data(), datagram.size(), 0);
  REQUIRE(size > 0);
  const std::string_view text(datagram.data(), static_cast<std::size_t>(size));
  REQUIRE(text.find_first_not_of("0123456789") == std::string_view::npos);
}

}  // namespace
}  // namespace ironquay::net
