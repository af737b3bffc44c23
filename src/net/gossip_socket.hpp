// Sends and receives gossip between the gateways: short messages in UDP datagrams, which may be lost.
#pragma once
#include <optional>
#include <string_view>
#include <vector>

#include "net/event_loop.hpp"
#include "net/socket.hpp"

namespace ironquay::net {

class GossipSocket : EventLoop::Handler {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // A message has arrived. `peer` is the number of the gateway that sent it. The view is valid during the
    // call.
    virtual void on_gossip(int peer, std::string_view bytes) = 0;
  };

  // `peers` are the addresses of all gateways, indexed by their numbers; `broadcast` is the address that
  // reaches all of them. Messages from other addresses are ignored. Throws std::system_error if the socket
  // cannot be bound to `listen`.
  GossipSocket(EventLoop& loop, const Address& listen, std::vector<Address> peers,
               std::optional<Address> broadcast, Listener& listener);
  ~GossipSocket() override;
  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  // Sends a message of at most 256 bytes to one peer. Does nothing if no peer has that number.
  void send_to(int peer, std::string_view bytes);
  // Sends a message of at most 256 bytes to all gateways. Does nothing without a broadcast address.
  void broadcast(std::string_view bytes);

 private:
  void on_events(std::uint32_t events) override;
  void send_datagram(const Address& address, std::string_view bytes);
  std::optional<int> find_peer(const Address& address) const;

  EventLoop& loop_;
  FileDescriptor socket_;
  EventLoop::Token token_ = 0;
  std::vector<Address> peers_;
  std::optional<Address> broadcast_;
  Listener& listener_;
};

}  // namespace ironquay::net
