// The TCP server on which the stubs of workers, counter and discovery service are built.
#pragma once
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.hpp"
#include "net/socket.hpp"
#include "net/tcp_stream.hpp"

namespace ironquay::lab {

class StubServer : net::EventLoop::Handler {
 public:
  // A connection that a client has opened.
  class Connection : public net::EventLoop::Handler {
   public:
    Connection(StubServer& server, std::uint64_t id, net::FileDescriptor fd)
        : server_(server), id_(id), stream_(server.loop_, std::move(fd), *this, true) {}
    void send(std::string_view bytes) { stream_.write({bytes}); }
    // Unique among all connections of the server, including closed ones.
    std::uint64_t id() const { return id_; }

   private:
    friend class StubServer;
    void on_events(std::uint32_t events) override;

    StubServer& server_;
    std::uint64_t id_;
    net::TcpStream stream_;
    bool closed_ = false;
  };

  // Receives all unconsumed bytes of a connection and returns the number of bytes that it has consumed, or
  // kCloseConnection to close the connection.
  using OnBytes = std::function<std::size_t(Connection&, std::string_view)>;
  static constexpr std::size_t kCloseConnection = static_cast<std::size_t>(-1);

  // Listens at `address`. Throws std::system_error if that fails. `loop` must outlive the server.
  StubServer(net::EventLoop& loop, const net::Address& address, OnBytes on_bytes);
  ~StubServer() override;
  StubServer(const StubServer&) = delete;
  StubServer& operator=(const StubServer&) = delete;

  // The address that the server listens at, with the actual port.
  std::string address() const;
  // Returns null if the connection has ended.
  Connection* find_connection(std::uint64_t id);
  template <typename Action>
  void for_each_connection(Action action) {
    for (auto& connection : connections_) action(*connection);
  }
  // Closes all connections, as happens when a process ends.
  void disconnect_all();
  // While the server is unresponsive, it accepts connections and discards all bytes that it receives. To
  // clients, this looks like a machine that has become unreachable.
  void set_unresponsive(bool unresponsive) { unresponsive_ = unresponsive; }

 private:
  void on_events(std::uint32_t events) override;
  void close(Connection& connection);

  net::EventLoop& loop_;
  net::FileDescriptor socket_;
  net::EventLoop::Token token_ = 0;
  OnBytes on_bytes_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::uint64_t last_id_ = 0;
  bool unresponsive_ = false;
};

}  // namespace ironquay::lab
