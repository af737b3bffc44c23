#include "lab/loadgen/load_connection.hpp"

#include <utility>

#include "net/resp.hpp"

namespace ironquay::lab {
namespace {

constexpr char kBulkString = '$';  // type of a RESP reply that is a bulk string
constexpr char kError = '-';       // type of a RESP reply that is an error
// The text with which the error reply of a rejection begins.
constexpr std::string_view kRejectionPrefix = "BUSY";

LoadRequestOutcome outcome_of(const net::resp::Reply& reply) {
  if (reply.type == kBulkString && !reply.is_null) return LoadRequestOutcome::served;
  if (reply.type == kError && reply.text.starts_with(kRejectionPrefix)) return LoadRequestOutcome::rejected;
  return LoadRequestOutcome::failed;
}

}  // namespace

LoadConnection::LoadConnection(net::EventLoop& loop, Listener& listener, std::size_t gateway_index,
                               net::FileDescriptor fd)
    : listener_(listener),
      gateway_index_(gateway_index),
      stream_(loop, std::move(fd), *this, false),
      timeout_(loop, [this] { end_request_and_close(LoadRequestOutcome::lost); }) {}

void LoadConnection::send(const LoadRequest& request, Duration scheduled_at, Duration deadline,
                          std::string_view command) {
  request_ = request;
  scheduled_at_ = scheduled_at;
  in_flight_ = true;
  timeout_.expire_at(deadline);
  stream_.write({command});
}

void LoadConnection::on_events(std::uint32_t events) {
  if (!stream_.make_progress(events)) {
    if (stream_.connection_end() != net::ConnectionEnd::none) end_request_and_close(LoadRequestOutcome::lost);
    return;
  }
  stream_.read(events, [this](std::string_view bytes) { return on_bytes(bytes); });
  if (!closed_ && stream_.has_ended(events)) end_request_and_close(LoadRequestOutcome::lost);
}

std::size_t LoadConnection::on_bytes(std::string_view bytes) {
  net::resp::Reply reply;
  const auto parsed = net::resp::parse_reply(bytes, reply);
  if (parsed == net::resp::ParseStatus::incomplete) return 0;
  if (parsed == net::resp::ParseStatus::malformed || !in_flight_) {
    end_request_and_close(LoadRequestOutcome::failed);
    return bytes.size();
  }
  end_request(outcome_of(reply));
  if (!closed_) listener_.on_idle(*this);
  return reply.wire_bytes;
}

void LoadConnection::end_request(LoadRequestOutcome outcome) {
  timeout_.stop();
  if (std::exchange(in_flight_, false)) listener_.on_request_end(request_, scheduled_at_, outcome);
}

void LoadConnection::end_request_and_close(LoadRequestOutcome outcome) {
  end_request(outcome);
  if (std::exchange(closed_, true)) return;
  stream_.close();
  listener_.on_closed(*this);
}

}  // namespace ironquay::lab
