// Restricts the addresses that the laboratory uses to the loopback network.
#pragma once
#include <string>

#include "net/socket.hpp"

namespace ironquay::lab {

// Parses an address such as "127.0.0.1:6379". Port 0 lets the system choose a free port. Throws
// std::runtime_error if the text is not an address, or if the address is outside of 127.0.0.0/8: the
// laboratory must not put load on other machines.
net::Address parse_loopback_address(const std::string& text);

}  // namespace ironquay::lab
