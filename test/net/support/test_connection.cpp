#include "test_connection.hpp"

#include <sys/socket.h>

#include "net/resp.hpp"

namespace ironquay::net {

void TestConnection::send(std::string_view bytes) {
  while (!bytes.empty() && fd_) {
    pollfd event{fd_.get(), POLLOUT, 0};
    if (poll(&event, 1, static_cast<int>(kWaitTimeout.count())) != 1)
      FAIL("the peer does not read the bytes that were sent");
    const ssize_t sent = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

void TestConnection::try_send(std::string_view bytes, Milliseconds timeout) {
  pollfd event{fd_.get(), POLLOUT, 0};
  while (!bytes.empty() && fd_ && poll(&event, 1, static_cast<int>(timeout.count())) == 1) {
    const ssize_t sent = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

void TestConnection::send_byte_by_byte(std::string_view bytes) {
  for (const char& byte : bytes) send({&byte, 1});
}

void TestConnection::send_and_half_close(std::string_view bytes) {
  ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_MORE);
  half_close();
}

void TestConnection::half_close() { shutdown(fd_.get(), SHUT_WR); }

void TestConnection::close() { fd_ = FileDescriptor(); }

void TestConnection::reset() {
  const linger discard_unsent{1, 0};
  setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &discard_unsent, sizeof discard_unsent);
  close();
}

bool TestConnection::receives(std::string_view expected) {
  while (received_.size() < expected.size() && read_more()) {
  }
  return take(expected.size()) == expected;
}

std::string TestConnection::receive_until(std::string_view end) {
  std::size_t position;
  while ((position = received_.find(end)) == std::string::npos)
    if (!read_more()) return take(received_.size());
  return take(position + end.size());
}

std::string TestConnection::receive_line_until(Clock::time_point deadline) {
  std::size_t position;
  while ((position = received_.find("\r\n")) == std::string::npos) {
    const auto time_left = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
    if (time_left <= 0ms || !read_more(time_left)) return {};
  }
  return take(position + 2);
}

std::string TestConnection::receive_command() {
  resp::Command command;
  while (resp::parse_command(received_, command) == resp::ParseStatus::incomplete)
    if (!read_more()) return {};
  std::string words;
  for (std::size_t i = 0; i < command.word_count; ++i) words.append(i ? " " : "").append(command.words[i]);
  take(command.wire_bytes);
  return words;
}

std::string TestConnection::answer_command(std::string_view reply) {
  std::string words = receive_command();
  send(reply);
  return words;
}

bool TestConnection::receives_nothing_for(Milliseconds duration) const {
  return received_.empty() && !readable(fd_, duration);
}

bool TestConnection::reaches_end() {
  while (read_more()) {
  }
  return ended_;
}

bool TestConnection::peer_has_reset() const {
  pollfd event{fd_.get(), 0, 0};
  return poll(&event, 1, 0) == 1 && (event.revents & (POLLERR | POLLHUP));
}

bool TestConnection::read_more(Milliseconds timeout) {
  if (!fd_ || ended_ || !readable(fd_, timeout)) return false;
  char bytes[65536];
  const ssize_t size = recv(fd_.get(), bytes, sizeof bytes, 0);
  ended_ = size <= 0;
  reset_ = size < 0;
  if (size > 0) received_.append(bytes, static_cast<std::size_t>(size));
  return size > 0;
}

std::string TestConnection::take(std::size_t size) {
  std::string bytes = received_.substr(0, size);
  received_.erase(0, size);
  return bytes;
}

}  // namespace ironquay::net
