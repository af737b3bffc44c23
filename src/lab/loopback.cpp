#include "lab/loopback.hpp"

#include <arpa/inet.h>

#include <stdexcept>

namespace ironquay::lab {
namespace {

constexpr std::uint32_t kLoopbackFirstOctet = 127;  // first octet of the addresses in 127.0.0.0/8

bool is_loopback(const net::Address& address) {
  return ntohl(address.sin_addr.s_addr) >> 24 == kLoopbackFirstOctet;
}

}  // namespace

net::Address parse_loopback_address(const std::string& text) {
  // net::parse_address() rejects port 0, so port 1 is parsed in its place and replaced by 0 afterwards.
  const auto colon = text.rfind(':');
  const bool any_port = colon != std::string::npos && text.substr(colon) == ":0";
  auto address = net::parse_address(any_port ? text + "1" : text);
  if (!address) throw std::runtime_error("not an address: '" + text + "'");
  if (any_port) address->sin_port = 0;
  if (!is_loopback(*address)) throw std::runtime_error("not in 127.0.0.0/8: '" + text + "'");
  return *address;
}

}  // namespace ironquay::lab
