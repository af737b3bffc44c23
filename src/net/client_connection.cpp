#include "net/client_connection.hpp"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "net/log.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;

// Limits per connection on commands without a written response, and on bytes of responses that wait to be
// sent. While a connection is over either limit, the gateway reads no further commands from it.
constexpr std::size_t kMaxPipelinedCommands = 1024;
constexpr std::size_t kMaxUnwrittenBytes = std::size_t{256} * 1024;
// How much is read at a time while memory is scarce. A paused connection keeps at most this much of complete
// commands, besides what it had read before.
constexpr std::size_t kScarceMemoryReadBytes = std::size_t{4} * 1024;
// The memory for a request in flight besides its bytes: the state of the decisions and the entries of look-up
// tables.
constexpr std::size_t kRequestOverheadBytes = 512;
// The bytes of a request are stored in the request, and once more in an attempt that the system has not
// accepted yet.
constexpr std::size_t kRequestCopies = 2;
// If the client of a closing connection sends more than this after all responses are written, the gateway
// does not wait for the linger timeout.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{1024} * 1024;

}  // namespace

ClientConnection::ClientConnection(ClientContext& context, FileDescriptor socket, const Address& peer,
                                   Duration unread_since)
    : context_(context),
      stream_(context.loop, std::move(socket), *this, true),
      responses_(context, stream_),
      peer_(peer),
      idle_since_(context.loop.now()),
      input_memory_(context.memory.input_bytes),
      arrival_clock_(unread_since),
      linger_timer_(context.loop, [this] { close(ClientCloseReason::linger_expired); }) {}

void ClientConnection::on_events(std::uint32_t events) {
  context_.requests.release_finished();
  // A client that closes its side has disconnected. Nothing that it has sent is forwarded any more, even if
  // it is still unread.
  if (events & (EPOLLERR | EPOLLHUP)) return close(ClientCloseReason::client_reset);
  if (events & EPOLLRDHUP) return close(ClientCloseReason::client_eof);
  stream_.make_progress(events);
  arrival_clock_.on_event(events & EPOLLIN, context_.loop.now() - context_.loop.scheduling_delay());
  schedule_turn();
  after_progress();
}

bool ClientConnection::take_turn() {
  context_.requests.release_finished();
  stream_.set_max_read_bytes(context_.memory.is_scarce() ? kScarceMemoryReadBytes : max_read_bytes());
  responses_.begin_batch();
  has_unprocessed_input_ = process_input();
  responses_.end_batch();
  if (stream_.connection_end() != ConnectionEnd::none) {
    const bool end_of_stream = stream_.connection_end() == ConnectionEnd::peer_closed;
    close(end_of_stream ? ClientCloseReason::client_eof : ClientCloseReason::client_reset);
    return false;
  }
  if (has_incomplete_command()) context_.connections.mark_used(*this);
  after_progress();
  if (context_.memory.input_is_exceeded()) context_.limiter.reject_incomplete_commands();
  return has_unprocessed_input_ && !closed_;
}

// The unprocessed input of all connections together stays within the limit on input.
std::size_t ClientConnection::max_read_bytes() const {
  return std::clamp(context_.memory.connection_share_bytes / 2, kScarceMemoryReadBytes,
                    EventLoop::kReadBufferBytes);
}

// Processes buffered input, and then input of the system. Returns whether input may be left because the turn
// is over.
bool ClientConnection::process_input() {
  turn_is_over_ = false;
  const auto process = [this](std::string_view bytes) {
    const std::size_t consumed = consume(bytes);
    if (!paused_ && !turn_is_over_) arrival_clock_.on_processed();
    return consumed;
  };
  if (has_unprocessed_input_) stream_.consume_unread(process);
  while (!paused_ && !turn_is_over_) {
    const Duration read_at = context_.loop.precise_now();
    const bool received = stream_.read_once([&](std::string_view bytes) {
      arrival_clock_.on_received(read_at, stream_.received_less_than_requested());
      return process(bytes);
    });
    if (stream_.receive_buffer_drained()) arrival_clock_.on_nothing_received(read_at);
    if (!received) break;
    turn_is_over_ = turn_is_over_ || context_.turns.turn_is_over();
  }
  return turn_is_over_;
}

// Processes the complete commands in `bytes` and returns how many bytes they take up.
std::size_t ClientConnection::consume(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size()) {
    context_.requests.release_finished();
    if (is_closing()) return discard(bytes.size());
    resp::Command command;
    const resp::ParseStatus status = resp::parse_command(bytes.substr(consumed), command);
    if (status == resp::ParseStatus::incomplete) break;
    paused_ = should_pause_reading();
    if (paused_) break;
    if (status == resp::ParseStatus::malformed) {
      respond_to_command("-ERR Protocol error\r\n");
      begin_close(ClientCloseReason::protocol_error);
      return bytes.size();
    }
    consumed += command.wire_bytes;
    ++command_count_;
    handle_command(command);
    turn_is_over_ = context_.turns.turn_is_over();
    if (turn_is_over_) break;
  }
  return consumed;
}

// Discards input of a closing connection. Returns `bytes`, the number of bytes discarded.
std::size_t ClientConnection::discard(std::size_t bytes) {
  discarded_bytes_ += bytes;
  if (discarded_bytes_ > kMaxDiscardedBytes && all_responses_written()) linger_timer_.expire_after(0s);
  return bytes;
}

// While memory is scarce, a client has to take the responses to its earlier commands before further ones are
// processed. A connection without a pending command or response is not paused, because nothing would resume
// it.
bool ClientConnection::should_pause_reading() const {
  const bool has_pending = !responses_.empty() || stream_.unwritten_bytes() > kScarceMemoryReadBytes;
  return responses_.size() >= kMaxPipelinedCommands || stream_.unwritten_bytes() > kMaxUnwrittenBytes ||
         (has_pending && context_.memory.is_scarce());
}

bool ClientConnection::may_resume_reading() const {
  return responses_.size() < kMaxPipelinedCommands / 2 &&
         stream_.unwritten_bytes() < kMaxUnwrittenBytes / 2 && !should_pause_reading();
}

void ClientConnection::resume_reading_if_possible() {
  if (!paused_ || !may_resume_reading()) return;
  paused_ = false;
  has_unprocessed_input_ = true;
  schedule_turn();
}

void ClientConnection::handle_command(const resp::Command& command) {
  const CommandType type = command_type(command.words[0]);
  switch (type) {
    case CommandType::idempotent_request:
    case CommandType::other_request:
      return handle_request(command, type);
    case CommandType::ping:
      return respond_to_command("+PONG\r\n");
    case CommandType::session:
      return respond_to_command("+OK\r\n");
    case CommandType::quit:
      respond_to_command("+OK\r\n");
      return begin_close(ClientCloseReason::quit);
    case CommandType::unknown:
      return respond_to_command("-ERR unknown command\r\n");
  }
}

void ClientConnection::handle_request(const resp::Command& command, CommandType type) {
  ClientRequest& request = responses_.enqueue(*this);
  const RequestParseResult result = parse_request(command, type, context_.settings);
  if (const RequestError* error = std::get_if<RequestError>(&result))
    return request.respond({error_response(*error)});
  request.request = std::get<RequestMessage>(result);
  if (!try_free_request_id(request.request.client_request_id))
    return request.respond({error_response(RequestError::duplicate_request_id)});
  if (!std::exchange(has_sent_request_, true)) context_.limiter.on_request_connection_added();
  accept_request(request, command.wire_bytes);
}

void ClientConnection::accept_request(ClientRequest& request, std::size_t command_bytes) {
  request.time_left = time_left_of(request.request);
  request.memory.add(kRequestOverheadBytes + kRequestCopies * command_bytes);
  const std::size_t max_open_requests = context_.settings.connection.max_open_requests;
  const bool too_many = max_open_requests > 0 && context_.requests.pending() > max_open_requests;
  if (too_many || context_.memory.is_exceeded()) return request.reject(Duration(0));
  request.deadline = context_.loop.now() + request.time_left;
  context_.listener.on_request(request);
  if (request.has_response()) return;
  request.copy_buffers();
  context_.requests.register_id(request);
}

// Returns the time until the client's timeout. The client started its timeout when it sent the request, so
// the time that the request may have waited unread is subtracted.
Duration ClientConnection::time_left_of(const RequestMessage& message) const {
  const Duration time_left = message.timeout - arrival_clock_.waited(context_.loop.precise_now());
  if (!context_.drain.is_draining) return time_left;
  return std::min(time_left, context_.drain.response_deadline - context_.loop.now());
}

// Returns whether a new request with this id can be accepted, and ends an earlier open request with the same
// id if possible. A request that a worker may have executed for a client that has disconnected is not
// accepted again. When a client disconnects and retries on a new connection, the gateway may read the retry
// before the end of stream of the old connection. In that case this function closes the old connection, which
// ends the earlier request. An earlier request that is not idempotent and has been sent to a worker is not
// ended.
bool ClientConnection::try_free_request_id(std::string_view client_request_id) {
  if (context_.abandoned_requests.contains(client_request_id, context_.loop.now())) return false;
  const ClientRequest* open = context_.requests.find(client_request_id);
  if (!open) return true;
  const Route& route = context_.settings.policy_settings.routes[open->request.route];
  const bool may_repeat = open->attempts_sent == 0 || route.idempotency == Idempotency::idempotent;
  ClientConnection* other = open->connection();
  if (!may_repeat || other == this || !other->peer_has_disconnected()) return false;
  other->close(ClientCloseReason::client_eof);
  return true;
}

void ClientConnection::deliver_response(ClientRequest& request,
                                        std::initializer_list<std::string_view> parts) {
  if (!responses_.deliver(request, parts)) return;
  idle_since_ = context_.loop.now();
  if (!responses_.in_batch()) after_progress();
}

// Called after bytes were read or written. Resumes reading when the limits allow it, and starts or continues
// to close the connection when its state requires it.
void ClientConnection::after_progress() {
  resume_reading_if_possible();
  account_buffers();
  if (context_.drain.is_draining && has_sent_command() && is_idle()) {
    // A command that the system has received but the gateway has not read yet must be processed as well.
    if (!nothing_to_read()) return schedule_turn();
    begin_close(ClientCloseReason::draining);
  }
  if (is_closing() && all_responses_written()) half_close();
}

// Updates the memory that the connection's buffers count for.
void ClientConnection::account_buffers() {
  if (closed_) return;
  input_memory_.set(stream_.unread_memory());
  responses_.account_unwritten();
}

bool ClientConnection::is_slow_reader() {
  return read_progress_.is_too_slow(context_.read_requirement, context_.loop.now(), stream_.unwritten_bytes(),
                                    stream_.accepted_bytes());
}

// The responses are given up: the client has not read them in time, and they occupy memory that others need.
void ClientConnection::end_slow_reader() {
  begin_close(ClientCloseReason::slow_reader);
  stream_.discard_unwritten();
  responses_.release_requests();
  half_close();
}

void ClientConnection::shorten_deadlines(Duration time_left) {
  std::vector<ClientRequest*> shortened = responses_.open_requests();
  std::erase_if(shortened, [&](const ClientRequest* request) {
    return request->deadline - context_.loop.now() <= time_left;
  });
  for (ClientRequest* request : shortened) {
    request->time_left = time_left;
    // While the listener handles one request, it may respond to another.
    if (!request->has_response()) context_.listener.on_deadline_shortened(*request);
  }
}

void ClientConnection::begin_close(ClientCloseReason reason) {
  if (is_closing()) return;
  close_reason_ = reason;
  if (std::exchange(has_sent_request_, false)) context_.limiter.on_request_connection_removed();
  if (!responses_.in_batch() && all_responses_written()) half_close();
}

void ClientConnection::reject_incomplete_command() {
  respond_to_command("-BUSY\r\n");
  begin_close(ClientCloseReason::memory_limit);
  stream_.discard_unread();
  account_buffers();
}

void ClientConnection::half_close() {
  if (closed_ || is_lingering()) return;
  idle_since_ = context_.loop.now();
  stream_.shutdown_write();
  stream_.discard_unread();
  const DrainState& drain = context_.drain;
  if (!linger_timer_.is_active())
    linger_timer_.expire_after(drain.is_draining ? drain.linger_timeout : kLingerTimeout);
  context_.connections.move_to_lingering(*this);
  account_buffers();
}

void ClientConnection::close(ClientCloseReason reason) {
  if (closed_) return;
  closed_ = true;
  log("connection closed peer=client addr=%s reason=%s commands=%zu in_flight=%zu", to_string(peer_).c_str(),
      to_string(close_reason_.value_or(reason)), command_count_, responses_.size());
  stream_.close();
  context_.turns.remove(*this);
  if (std::exchange(has_sent_request_, false)) context_.limiter.on_request_connection_removed();
  responses_.release_requests();
  input_memory_.set(0);
  context_.loop.destroy_later(context_.connections.remove(*this));
  context_.on_connection_closed();
}

}  // namespace ironquay::net
