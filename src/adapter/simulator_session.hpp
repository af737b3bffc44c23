// The simulator's protocol: the simulator sends batches of events as lines, and the session writes one reply
// to each batch.
//
// A batch contains the current time and events for any number of gateway instances, which share no state.
// Names of the simulator's protocol are used in src/adapter only.
#pragma once
#include <map>
#include <ostream>
#include <string>
#include <string_view>

#include "adapter/field_reader.hpp"
#include "adapter/gateway_instance.hpp"
#include "adapter/reply_builder.hpp"

namespace ironquay::adapter {

class SimulatorSession {
 public:
  // Writes replies to `out`, which must outlive the session.
  explicit SimulatorSession(std::ostream& out) : out_(out) {}

  // Handles one line, which must not be empty. Throws ProtocolError if the line is malformed or not expected,
  // and PolicyFailure if the load balancer throws. The session must receive no further lines after an
  // exception.
  void receive(std::string_view line);

  // Ends the reply to the current batch with the failure of the current instance, and writes the reply.
  void reply_with_panic(const PolicyFailure& failure);

  // Handles the end of the input. Throws ProtocolError if the last batch is incomplete.
  void expect_end() const;

 private:
  void begin_batch(FieldReader& fields);
  void end_batch(FieldReader& fields);
  void select_instance(FieldReader& fields);
  void start_instance(FieldReader& fields);
  void stop_instance(FieldReader& fields);

  std::ostream& out_;
  ReplyBuilder reply_;
  std::map<std::string, GatewayInstance, std::less<>> instances_;
  std::string instance_name_;            // receives the current events; empty if the batch has selected none
  GatewayInstance* instance_ = nullptr;  // has the name instance_name_; null if it is not running
  std::string batch_ = "0";              // identifier of the current batch, repeated in its reply
  Duration now_{0};                      // time of the current batch
  bool in_batch_ = false;
};

}  // namespace ironquay::adapter
