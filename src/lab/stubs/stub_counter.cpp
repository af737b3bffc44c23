#include "lab/stubs/stub_counter.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>

#include "policy/duration.hpp"

namespace ironquay::lab {
namespace {

using net::resp::Command;
using net::resp::ParseStatus;

constexpr std::size_t kAddWords = 4;       // words of a CNT.ADD command: verb, name, amount, lifetime
constexpr double kMaxAmount = 1e9;         // units; a command with a larger amount is an error
constexpr double kMinLifetimeMs = 1;       // a command with a shorter lifetime is an error
constexpr double kMaxLifetimeMs = 60'000;  // a longer lifetime is shortened to this
constexpr double kMillisecondsPerSecond = 1000;

constexpr char kPong[] = "+PONG\r\n";
constexpr char kCommandError[] = "-ERR no such call\r\n";

// Returns std::nullopt unless the complete text is a finite number.
std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last || !std::isfinite(value)) return std::nullopt;
  return value;
}

// The value with three decimals, as a RESP bulk string.
std::string bulk_string(double value) {
  char digits[64];
  const int size = std::snprintf(digits, sizeof digits, "%.3f", value);
  std::string bulk;
  net::resp::append_bulk_string(bulk, std::string_view(digits, static_cast<std::size_t>(size)));
  return bulk;
}

}  // namespace

StubCounter::StubCounter(net::EventLoop& loop, const net::Address& address)
    : loop_(loop),
      timers_(loop),
      server_(loop, address, [this](StubServer::Connection& connection, std::string_view bytes) {
        return on_bytes(connection, bytes);
      }) {}

std::size_t StubCounter::on_bytes(StubServer::Connection& connection, std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size()) {
    Command command;
    const ParseStatus parsed = net::resp::parse_command(bytes.substr(consumed), command);
    if (parsed == ParseStatus::incomplete) break;
    if (parsed == ParseStatus::malformed || refusing_) return StubServer::kCloseConnection;
    consumed += command.wire_bytes;
    connection.send(execute(command));
  }
  return consumed;
}

// Executes the command and returns its reply.
std::string StubCounter::execute(const Command& command) {
  if (command.words[0] == "PING") return kPong;
  if (command.words[0] != "CNT.ADD" || command.word_count != kAddWords) return kCommandError;
  const auto amount = parse_number(command.words[2]);
  const auto lifetime_ms = parse_number(command.words[3]);
  if (!amount || !lifetime_ms || std::abs(*amount) > kMaxAmount || *lifetime_ms < kMinLifetimeMs)
    return kCommandError;
  return bulk_string(add(std::string(command.words[1]), *amount, *lifetime_ms));
}

// Returns the total after the addition.
double StubCounter::add(const std::string& name, double amount, double lifetime_ms) {
  ++calls_;
  Total& total = totals_[name];
  const double lifetime = std::min(lifetime_ms, kMaxLifetimeMs) / kMillisecondsPerSecond;
  if (total.expires_at <= loop_.now()) total = {0, loop_.now() + from_seconds(lifetime)};
  return total.value += amount;
}

void StubCounter::inject(const Fault& fault) {
  begin_fault(fault.kind);
  timers_.run_in(fault.duration, [this, kind = fault.kind, clears_counter = fault.clears_counter] {
    end_fault(kind);
    if (clears_counter) totals_.clear();
  });
}

void StubCounter::begin_fault(FaultKind kind) {
  if (kind == FaultKind::counter_refuse) {
    refusing_ = true;
    server_.disconnect_all();
  } else if (kind == FaultKind::counter_silent) {
    server_.set_unresponsive(true);
  }
}

void StubCounter::end_fault(FaultKind kind) {
  if (kind == FaultKind::counter_refuse) {
    refusing_ = false;
  } else if (kind == FaultKind::counter_silent) {
    server_.set_unresponsive(false);
    server_.disconnect_all();
  }
}

}  // namespace ironquay::lab
