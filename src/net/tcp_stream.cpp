#include "net/tcp_stream.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "net/system_call.hpp"

namespace ironquay::net {

TcpStream::TcpStream(EventLoop& loop, FileDescriptor socket, EventLoop::Handler& owner, bool connected)
    : loop_(loop),
      socket_(std::move(socket)),
      token_(loop.watch(socket_.get(), owner)),
      connected_(connected) {}

bool TcpStream::make_progress(std::uint32_t events) {
  if (!connected_) {
    socklen_t size = sizeof error_;
    if (getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error_, &size) != 0 || error_ != 0) {
      end_ = ConnectionEnd::reset;
    } else if (events & EPOLLOUT) {
      connected_ = true;
    }
  }
  if (events & EPOLLOUT) {
    write_blocked_ = false;
    flush();
  }
  return connected_;
}

// Reads once and returns all unconsumed bytes. They are in the loop's buffer, or in `unread_` if earlier
// reads left some. Only EAGAIN shows that the system has no more bytes, and that bytes or an end of stream
// that arrive later raise a new event.
std::string_view TcpStream::receive() {
  EventLoop::ReadBuffer& buffer = loop_.read_buffer();
  const std::size_t requested = std::min(buffer.size(), max_read_bytes_);
  const ssize_t received =
      retry_interrupted([&] { return recv(socket_.get(), buffer.data(), requested, 0); });
  receive_buffer_drained_ = received < 0 && errno == EAGAIN;
  short_read_ = received < static_cast<ssize_t>(requested);
  if (received == 0) end_ = ConnectionEnd::peer_closed;
  if (received < 0 && !receive_buffer_drained_) on_receive_error(errno);
  if (received <= 0) return {};
  const std::string_view bytes(buffer.data(), static_cast<std::size_t>(received));
  if (unread_.empty()) return bytes;
  unread_.append(bytes);
  return unread_;
}

void TcpStream::on_receive_error(int error) {
  if (is_resource_shortage(error)) return loop_.requeue_later(token_, EPOLLIN);
  end_ = ConnectionEnd::reset;
}

// After this the system reports no event, so the loop delivers one to the owner.
void TcpStream::on_send_error(int error) {
  write_blocked_ = true;
  if (error == EAGAIN) return;
  if (is_resource_shortage(error)) return loop_.requeue_later(token_, EPOLLOUT);
  end_ = ConnectionEnd::reset;
  loop_.requeue(token_, EPOLLERR);
}

// Buffers the bytes that were not consumed, in no more memory than they need. An idle stream holds no memory.
void TcpStream::retain_unconsumed(std::string_view bytes, std::size_t consumed) {
  const bool is_buffered = bytes.data() == unread_.data();
  if (is_buffered && consumed == 0) return;
  std::string(bytes.substr(consumed)).swap(unread_);
}

void TcpStream::write(std::initializer_list<std::string_view> parts) {
  std::size_t sent = 0;
  if (can_write() && unwritten_.empty()) {
    std::array<iovec, kMaxWriteParts> buffers{};
    std::size_t count = 0;
    for (const std::string_view part : parts)
      buffers[count++] = {const_cast<char*>(part.data()), part.size()};
    sent = send_parts(std::span(buffers).first(count));
  }
  for (std::string_view part : parts) {
    const std::size_t sent_of_part = std::min(sent, part.size());
    sent -= sent_of_part;
    part.remove_prefix(sent_of_part);
    unwritten_.append(part);
  }
  // If the system accepted a part only, it may report no event.
  flush();
}

void TcpStream::enqueue(std::initializer_list<std::string_view> parts) {
  for (const std::string_view part : parts) unwritten_.append(part);
}

// Returns the number of bytes that the system accepted; zero if the call failed.
std::size_t TcpStream::send_parts(std::span<iovec> parts) {
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  const ssize_t sent = retry_interrupted([&] { return sendmsg(socket_.get(), &message, MSG_NOSIGNAL); });
  if (sent < 0) on_send_error(errno);
  const std::size_t accepted = sent > 0 ? static_cast<std::size_t>(sent) : 0;
  accepted_bytes_ += accepted;
  return accepted;
}

// Writes until everything is written or the system reports EAGAIN, after which it raises an event.
void TcpStream::flush() {
  while (can_write() && !unwritten_.empty()) {
    std::array<iovec, kMaxFlushParts> parts{};
    const std::size_t count = unwritten_.describe_front(parts);
    unwritten_.remove_front(send_parts(std::span(parts).first(count)));
  }
}

void TcpStream::shutdown_write() { shutdown(socket_.get(), SHUT_WR); }

void TcpStream::close() {
  if (end_ == ConnectionEnd::none) end_ = ConnectionEnd::closed_locally;
  loop_.unwatch(token_);
  socket_ = FileDescriptor();
  unwritten_.clear();
}

bool TcpStream::has_ended(std::uint32_t events) const {
  return end_ != ConnectionEnd::none || (events & (EPOLLERR | EPOLLHUP));
}

bool TcpStream::nothing_to_read() const {
  char next = 0;
  return retry_interrupted([&] { return recv(socket_.get(), &next, 1, MSG_PEEK); }) < 0 && errno == EAGAIN;
}

bool TcpStream::peer_has_disconnected() const {
  pollfd state{socket_.get(), POLLRDHUP, 0};
  const int ready = retry_interrupted([&] { return poll(&state, 1, 0); });
  return ready > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

}  // namespace ironquay::net
