// IPv4 addresses, and creation of TCP and UDP sockets.
//
// Every socket is non-blocking and close-on-exec. On failure, functions that return a FileDescriptor return
// an empty one and leave the reason in errno.
#pragma once
#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/file_descriptor.hpp"

namespace ironquay::net {

using Address = sockaddr_in;

// Parses a numeric IPv4 address and a port, such as "127.0.0.1:6379". Host names are not resolved. Returns
// nothing if the text does not have this form or the port is 0.
std::optional<Address> parse_address(std::string_view text);
// Formats an address in the form that parse_address() accepts.
std::string to_string(const Address& address);
// A number that is the same for equal addresses only, and never 0 for an address with a port.
std::uint64_t address_key(const Address& address);
// Whether both have the same IP address and port.
bool same_address(const Address& a, const Address& b);

// Returns a TCP socket that is bound to the address but refuses connections until start_listening(). If the
// address is in use, blocks and retries for up to five seconds.
FileDescriptor bind_tcp(const Address& address);
// Starts listening on a bound socket. Returns false on failure, with the reason in errno.
bool start_listening(const FileDescriptor& socket);
// Combines bind_tcp() and start_listening().
FileDescriptor listen_tcp(const Address& address);
// Accepts one pending connection and stores the address of its client in `peer`.
FileDescriptor accept_connection(const FileDescriptor& listener, Address& peer);
// Whether the socket has bytes or an end of stream to read, or a connection to accept. Makes a system call.
bool is_readable(const FileDescriptor& socket);
// Returns how many connections wait to be accepted; at least one. Empty if the system does not tell. Makes a
// system call.
std::optional<std::size_t> backlog_length(const FileDescriptor& listener);
// Starts to connect. The connect may still be in progress when the function returns.
FileDescriptor connect_tcp(const Address& address);
// Returns a UDP socket that is bound to the address. If the address is in use, blocks and retries like
// bind_tcp().
FileDescriptor bind_udp(const Address& address);

}  // namespace ironquay::net
