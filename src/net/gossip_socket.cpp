#include "net/gossip_socket.hpp"

#include <array>
#include <cerrno>
#include <system_error>

#include "net/log.hpp"
#include "net/system_call.hpp"

namespace ironquay::net {
namespace {

constexpr std::size_t kMaxMessageBytes = 256;
// The maximum number of messages received per event, so that a flood of messages does not block the event
// loop.
constexpr int kMaxMessagesPerEvent = 64;

}  // namespace

GossipSocket::GossipSocket(EventLoop& loop, const Address& listen, std::vector<Address> peers,
                           std::optional<Address> broadcast, Listener& listener)
    : loop_(loop),
      socket_(bind_udp(listen)),
      peers_(std::move(peers)),
      broadcast_(broadcast),
      listener_(listener) {
  if (!socket_)
    throw std::system_error(errno, std::generic_category(),
                            "cannot bind the gossip socket to " + to_string(listen));
  token_ = loop.watch(socket_.get(), *this);
}

GossipSocket::~GossipSocket() { loop_.unwatch(token_); }

void GossipSocket::send_to(int peer, std::string_view bytes) {
  if (peer < 0 || static_cast<std::size_t>(peer) >= peers_.size()) return;
  send_datagram(peers_[static_cast<std::size_t>(peer)], bytes);
}

void GossipSocket::broadcast(std::string_view bytes) {
  if (broadcast_) send_datagram(*broadcast_, bytes);
}

// Gossip tolerates lost messages, so a message that the system does not accept immediately is dropped.
void GossipSocket::send_datagram(const Address& address, std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) return log("gossip message too long bytes=%zu", bytes.size());
  retry_interrupted([&] {
    return sendto(socket_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                  reinterpret_cast<const sockaddr*>(&address), sizeof address);
  });
}

void GossipSocket::on_events(std::uint32_t events) {
  for (int received = 0; received < kMaxMessagesPerEvent; ++received) {
    std::array<char, kMaxMessageBytes + 1> buffer{};  // one more byte, to detect messages that are too long
    Address sender{};
    socklen_t sender_size = sizeof sender;
    const ssize_t size = retry_interrupted([&] {
      return recvfrom(socket_.get(), buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&sender),
                      &sender_size);
    });
    if (size < 0 && errno == EAGAIN) return;
    if (size < 0 && is_resource_shortage(errno)) return loop_.requeue_later(token_, events);
    if (size < 0 || static_cast<std::size_t>(size) > kMaxMessageBytes) continue;
    const std::optional<int> peer = find_peer(sender);
    if (peer) listener_.on_gossip(*peer, std::string_view(buffer.data(), static_cast<std::size_t>(size)));
  }
  loop_.requeue(token_, events);
}

// Returns the number of the peer with that address, or nothing if there is none.
std::optional<int> GossipSocket::find_peer(const Address& address) const {
  for (std::size_t i = 0; i < peers_.size(); ++i)
    if (same_address(peers_[i], address)) return static_cast<int>(i);
  return std::nullopt;
}

}  // namespace ironquay::net
