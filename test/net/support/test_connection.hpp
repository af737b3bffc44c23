// One end of a TCP connection, with blocking reads and writes that time out after kWaitTimeout.
#pragma once
#include <string>
#include <string_view>

#include "waiting.hpp"

namespace ironquay::net {

using Catch::Matchers::Contains;
using Catch::Matchers::EndsWith;
using Catch::Matchers::StartsWith;

/// One end of a TCP connection, with which the test acts as a client, worker, counter or discovery service.
class TestConnection {
 public:
  TestConnection() = default;
  explicit TestConnection(FileDescriptor fd) : fd_(std::move(fd)) {}

  /// Sends all bytes. Fails the test if the peer stops reading. Ignores errors such as a reset.
  void send(std::string_view bytes);
  /// Sends as many of the bytes as the peer reads within `timeout`. Does not fail the test, so that a thread
  /// other than that of the test may call it.
  void try_send(std::string_view bytes, Milliseconds timeout);
  /// Sends each byte separately, so that the peer must handle input that ends at any position.
  void send_byte_by_byte(std::string_view bytes);
  /// Sends the bytes together with the end of stream.
  void send_and_half_close(std::string_view bytes);
  /// Closes the sending side. The receiving side stays open.
  void half_close();
  void close();
  /// Closes the connection with a TCP reset.
  void reset();

  /// Receives as many bytes as `expected` has. Returns whether they are equal to it.
  bool receives(std::string_view expected);
  /// Returns the next bytes up to and including `end`, or all received bytes if the stream ends or a read
  /// times out first.
  std::string receive_until(std::string_view end);
  /// Returns the next line, including its CRLF.
  std::string receive_line() { return receive_until("\r\n"); }
  /// Returns the next line, including its CRLF. Empty if it does not arrive before `deadline`.
  std::string receive_line_until(Clock::time_point deadline);
  /// Returns the head of an HTTP message, including the empty line.
  std::string receive_http_head() { return receive_until("\r\n\r\n"); }
  /// Returns the words of the next RESP command, joined by spaces. Empty if the stream ends or a read times
  /// out before the command is complete.
  std::string receive_command();
  /// Receives one command, sends `reply`, and returns the command.
  std::string answer_command(std::string_view reply);
  bool receives_nothing_for(Milliseconds duration) const;

  /// Reads until the peer closes its side. Returns false if a read times out first.
  bool reaches_end();
  /// Whether the end of stream or a reset has been read.
  bool has_ended() const { return ended_; }
  /// Whether the connection ended with a reset. Valid after the end has been read.
  bool was_reset() const { return reset_; }
  /// Whether the peer has reset the connection. Does not read, unlike reaches_end(). A reset occurs when the
  /// peer closes a socket that has unread bytes, but not when it half-closes.
  bool peer_has_reset() const;

  const FileDescriptor& fd() const { return fd_; }

 private:
  /// Waits for bytes and appends them to `received_`. Returns false at the end of stream and after `timeout`.
  bool read_more(Milliseconds timeout = kWaitTimeout);
  /// Removes the first `size` bytes of `received_` and returns them.
  std::string take(std::size_t size);

  FileDescriptor fd_;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

}  // namespace ironquay::net
