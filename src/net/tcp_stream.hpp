// One TCP connection as a pair of byte streams with buffers.
#pragma once
#include <sys/uio.h>

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "net/buffer_memory.hpp"
#include "net/event_loop.hpp"
#include "net/file_descriptor.hpp"
#include "net/write_queue.hpp"

namespace ironquay::net {

// How a connection ended.
enum class ConnectionEnd {
  none,            // it has not ended
  peer_closed,     // the peer closed its side (end of stream)
  reset,           // a socket error, or the connection could not be established
  closed_locally,  // TcpStream::close() was called
};

// Reads and writes without blocking. Bytes that the owner has not consumed, or that the system has not
// accepted, are buffered.
class TcpStream {
 public:
  // `connected` is false for a socket whose connect is in progress. `owner` receives the socket's events; for
  // each event it calls make_progress() and then read(). The loop and the owner must outlive the stream.
  TcpStream(EventLoop& loop, FileDescriptor socket, EventLoop::Handler& owner, bool connected);
  ~TcpStream() { loop_.unwatch(token_); }
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Completes a connect in progress and writes buffered bytes. Returns connected(). While that is false,
  // connection_end() shows whether the connect has failed.
  bool make_progress(std::uint32_t events);

  // Reads until the socket reports that it has no more bytes, and passes all unconsumed bytes to `consume`.
  // Stops earlier after kMaxReadsPerEvent reads, so that other connections are served, and continues in the
  // next iteration of the loop. `consume` has the signature std::size_t(std::string_view) and returns how
  // many bytes it has consumed. The other bytes are buffered and passed again, followed by those that arrive
  // later. While `consume` of another stream is on the call stack, nothing is read until the next iteration,
  // because the streams share a read buffer.
  template <typename Consume>
  void read(std::uint32_t events, Consume consume) {
    if (loop_.read_buffer_is_locked()) return loop_.requeue(token_, events);
    const EventLoop::ReadBufferLock lock(loop_);
    for (int reads = 0; is_readable(); ++reads) {
      if (reads == kMaxReadsPerEvent) return loop_.requeue(token_, events);
      const std::string_view bytes = receive();
      if (bytes.empty()) return;
      retain_unconsumed(bytes, consume(bytes));
    }
  }

  // Passes the buffered bytes to `consume`, as read() does.
  template <typename Consume>
  void consume_unread(Consume consume) {
    if (!unread_.empty()) retain_unconsumed(unread_, consume(std::string_view(unread_)));
  }
  // Reads once and passes all unconsumed bytes to `consume`. Returns whether bytes were received. The read
  // buffer must not be locked.
  template <typename Consume>
  bool read_once(Consume consume) {
    const EventLoop::ReadBufferLock lock(loop_);
    const std::string_view bytes = receive();
    if (!bytes.empty()) retain_unconsumed(bytes, consume(bytes));
    return !bytes.empty();
  }

  // Writes as many bytes as the system accepts and buffers the rest. There may be at most kMaxWriteParts
  // parts. After a failure the owner receives an event.
  void write(std::initializer_list<std::string_view> parts);
  // Buffers bytes that the next flush() writes.
  void enqueue(std::initializer_list<std::string_view> parts);
  void enqueue(std::string&& bytes) { unwritten_.append(std::move(bytes)); }
  // Writes as many of the buffered bytes as the system accepts. The rest is written on later events.
  void flush();
  // Half-closes the connection: the peer receives the end of stream.
  void shutdown_write();
  // Limits how many bytes a read may return, and so how many bytes the stream keeps if the owner consumes
  // none.
  void set_max_read_bytes(std::size_t bytes) { max_read_bytes_ = bytes; }
  void discard_unread() { release_memory(unread_); }
  void discard_unwritten() { unwritten_.clear(); }
  // Closes the socket immediately. Bytes passed to `consume` stay valid until the owner's handler returns.
  void close();

  bool connected() const { return connected_; }
  ConnectionEnd connection_end() const { return end_; }
  // The errno value with which the connection failed; 0 if it did not fail.
  int error() const { return error_; }
  // Whether the connection has ended. Returns true also if `events` reports an error or hang-up, even if
  // unread bytes may remain.
  bool has_ended(std::uint32_t events) const;
  bool all_written() const { return unwritten_.empty(); }
  std::size_t unwritten_bytes() const { return unwritten_.bytes(); }
  // All bytes that the system has accepted from this stream.
  std::uint64_t accepted_bytes() const { return accepted_bytes_; }
  std::string_view unread() const { return unread_; }
  // The memory in bytes that is allocated for unread(), and for the bytes that are not written yet.
  std::size_t unread_memory() const { return allocated_bytes(unread_); }
  std::size_t unwritten_memory() const { return unwritten_.allocated_bytes(); }
  // Whether the last read returned fewer bytes than requested, which shows that the system had no more.
  bool receive_buffer_drained() const { return receive_buffer_drained_; }
  // Whether the last read returned fewer bytes than requested, so that the system probably had no more.
  bool received_less_than_requested() const { return short_read_; }
  // Whether the system has neither bytes nor an end of stream to read. Makes a system call.
  bool nothing_to_read() const;
  // Whether the peer has closed its side or the connection is broken, even if bytes before that are unread.
  // Makes a system call.
  bool peer_has_disconnected() const;

 private:
  static constexpr std::size_t kMaxWriteParts = 8;
  // The maximum number of buffered segments that one system call writes.
  static constexpr std::size_t kMaxFlushParts = 64;
  // A connection may fill the read buffer this many times per event. Together, these reads hold more than the
  // largest message.
  static constexpr int kMaxReadsPerEvent = 16;

  bool is_readable() const { return end_ == ConnectionEnd::none; }
  std::string_view receive();
  void retain_unconsumed(std::string_view bytes, std::size_t consumed);
  bool can_write() const { return connected_ && !write_blocked_ && end_ == ConnectionEnd::none; }
  std::size_t send_parts(std::span<iovec> parts);
  void on_receive_error(int error);
  void on_send_error(int error);

  EventLoop& loop_;
  FileDescriptor socket_;
  EventLoop::Token token_;
  std::string unread_;    // received bytes that the owner has not consumed
  WriteQueue unwritten_;  // bytes that the system has not accepted yet
  std::uint64_t accepted_bytes_ = 0;
  std::size_t max_read_bytes_ = EventLoop::kReadBufferBytes;
  bool connected_;
  bool write_blocked_ = false;  // nothing is written until the next event
  bool receive_buffer_drained_ = false;
  bool short_read_ = false;
  ConnectionEnd end_ = ConnectionEnd::none;
  int error_ = 0;
};

}  // namespace ironquay::net
