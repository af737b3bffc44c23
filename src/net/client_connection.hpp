// One client connection: reads commands, writes their responses in the order of the commands, and closes
// gracefully.
#pragma once
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string_view>

#include "net/arrival_clock.hpp"
#include "net/client_close_reason.hpp"
#include "net/client_context.hpp"
#include "net/client_request.hpp"
#include "net/connection_table.hpp"
#include "net/event_loop.hpp"
#include "net/file_descriptor.hpp"
#include "net/memory_share.hpp"
#include "net/request_parser.hpp"
#include "net/resp.hpp"
#include "net/response_pipeline.hpp"
#include "net/socket.hpp"
#include "net/tcp_stream.hpp"
#include "net/timer.hpp"
#include "policy/read_progress.hpp"
#include "policy/types.hpp"

namespace ironquay::net {

// The gateway closes a connection in three steps:
// - begin_close(): The connection accepts no further command, but still writes the responses to earlier ones.
// - Half-close: The gateway ends its side. It reads and discards input, because closing a socket with unread
//   bytes resets the connection and destroys responses in transit. The connection is now lingering.
// - Close: The socket is closed when the client ends its side, or after a timeout.
class ClientConnection : public EventLoop::Handler {
 public:
  // How long a half-closed connection waits for the client's end of stream, unless the gateway is draining.
  // This covers what the client sends before it notices the half-close, which may be a few buffers of data.
  static constexpr Duration kLingerTimeout = std::chrono::seconds(1);
  // The minimum time that a half-closed connection stays open when file descriptors run short: a few round
  // trips of the slowest client.
  static constexpr Duration kMinLinger = std::chrono::milliseconds(50);

  // `unread_since` is the earliest time at which the client may have connected. The context must outlive the
  // connection.
  ClientConnection(ClientContext& context, FileDescriptor socket, const Address& peer, Duration unread_since);

  void on_events(std::uint32_t events) override;
  // Processes input until the turn is over. Returns whether the connection needs another turn. Called by
  // ClientTurns.
  bool take_turn();
  // Makes the connection read in its next turn, whether or not there is an event.
  void schedule_turn() { context_.turns.enqueue(*this); }

  // Starts the graceful close described above. Does nothing if the connection is already closing.
  void begin_close(ClientCloseReason reason);
  // Closes the socket immediately. Logs the reason given to begin_close(), or else `reason`. Does nothing if
  // the connection is already closed.
  void close(ClientCloseReason reason);
  // Rejects the command of which only a part has been received, releases the memory of that part and closes
  // the connection.
  void reject_incomplete_command();
  // Whether the client reads its responses too slowly. Called from time to time.
  bool is_slow_reader();
  // Drops all responses that are not written, and half-closes the connection.
  void end_slow_reader();
  // Continues to read if the limits that stopped it allow it again.
  void resume_reading_if_possible();
  // Moves the deadline of each open request to `time_left` from now, unless it is earlier already.
  void shorten_deadlines(Duration time_left);
  // Writes the response to `request`, or buffers it until the responses to all earlier commands are written.
  // `parts` are concatenated.
  void deliver_response(ClientRequest& request, std::initializer_list<std::string_view> parts);

  // Whether all responses are written and no part of a further command has been received.
  bool is_idle() const { return all_responses_written() && stream_.unread().empty(); }
  // Whether at least `time` has passed since the connection was accepted, last completed a response, or was
  // half-closed, whichever is latest.
  bool is_idle_for(Duration time) const { return context_.loop.now() - idle_since_ >= time; }
  bool all_responses_written() const { return responses_.empty() && stream_.all_written(); }
  // Whether commands have been received that are not processed or whose responses are not written.
  bool has_unfinished_commands() const {
    return !all_responses_written() || (!stream_.unread().empty() && (paused_ || has_unprocessed_input_));
  }
  // Whether a part of a command has been received and the gateway waits for the rest.
  bool has_incomplete_command() const {
    return !stream_.unread().empty() && !paused_ && !has_unprocessed_input_ && !is_closing();
  }
  bool has_sent_command() const { return command_count_ > 0; }
  // Whether the client has sent a valid request and the connection is not closing.
  bool has_sent_request() const { return has_sent_request_; }
  bool is_closing() const { return close_reason_.has_value(); }
  bool is_closed() const { return closed_; }
  // Whether the gateway has half-closed the connection.
  bool is_lingering() const { return table_position.is_lingering; }
  // See ResponsePipeline::has_room_for_value().
  bool has_room_for_value(const ClientRequest& request, std::size_t bytes) const {
    return responses_.has_room_for_value(request, bytes);
  }
  // Whether the system has neither bytes nor an end of stream to read.
  bool nothing_to_read() const { return stream_.nothing_to_read(); }
  // Whether the client has closed its side, or the connection is broken.
  bool peer_has_disconnected() const { return stream_.peer_has_disconnected(); }

  ConnectionTable::Position table_position;  // position in its table; set by ConnectionTable
  std::optional<ClientTurns::Queue::iterator>
      turn_position;  // set by ClientTurns while the connection is queued

 private:
  // ---- Reading commands
  bool process_input();
  std::size_t max_read_bytes() const;
  std::size_t consume(std::string_view bytes);
  std::size_t discard(std::size_t bytes);
  bool should_pause_reading() const;
  bool may_resume_reading() const;
  void handle_command(const resp::Command& command);
  void handle_request(const resp::Command& command, CommandType type);
  void accept_request(ClientRequest& request, std::size_t command_bytes);
  Duration time_left_of(const RequestMessage& message) const;
  bool try_free_request_id(std::string_view client_request_id);
  void respond_to_command(std::string_view response) { responses_.enqueue(*this).respond({response}); }

  // ---- Writing responses
  void after_progress();
  void account_buffers();

  // ---- Closing
  void half_close();

  ClientContext& context_;
  TcpStream stream_;
  ResponsePipeline responses_;
  Address peer_;
  Duration idle_since_;       // start of the idle time that is_idle_for() checks
  MemoryShare input_memory_;  // the memory of the stream's unread bytes
  ReadProgress read_progress_;
  ArrivalClock arrival_clock_;
  Timer linger_timer_;                  // closes a lingering connection
  bool paused_ = false;                 // no commands are processed until there is room for their responses
  bool turn_is_over_ = false;           // set while input is processed
  bool has_unprocessed_input_ = false;  // received commands wait for the next turn
  std::size_t command_count_ = 0;       // complete commands received on this connection
  std::size_t discarded_bytes_ = 0;     // input discarded since begin_close()
  bool has_sent_request_ = false;
  std::optional<ClientCloseReason> close_reason_;  // set when closing begins
  bool closed_ = false;
};

}  // namespace ironquay::net
