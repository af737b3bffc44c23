#include "adapter/simulator_session.hpp"

#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapter/errors.hpp"
#include "config/settings_decoder.hpp"

namespace ironquay::adapter {
namespace {

DecodedSettings parse_settings(FieldReader& fields) {
  try {
    return decode_settings(nlohmann::json::parse(fields.remainder("config"), nullptr, false));
  } catch (const SettingsError& error) {
    throw ProtocolError(std::string("START: config: ") + error.what());
  }
}

}  // namespace

void SimulatorSession::receive(std::string_view line) {
  FieldReader fields(line);
  const std::string_view message = fields.message_name();
  if (instance_ && instance_->awaits_endpoints() && message != "WORKER")
    throw ProtocolError("DISCOVERY: fewer WORKER messages than announced in hosts");
  if (message == "MARK") return begin_batch(fields);
  if (!in_batch_) throw ProtocolError(std::string(message) + ": received outside a batch");
  if (message == "END") return end_batch(fields);
  if (message == "CONTEXT") return select_instance(fields);
  if (instance_name_.empty()) throw ProtocolError(std::string(message) + ": no instance selected by CONTEXT");
  if (message == "START") return start_instance(fields);
  if (!instance_)
    throw ProtocolError(std::string(message) + ": instance " + instance_name_ + " is not running");
  if (message == "DETACH") return stop_instance(fields);
  instance_->deliver(fields, now_);
}

void SimulatorSession::reply_with_panic(const PolicyFailure& failure) {
  reply_.add_panic(instance_name_, failure.what());
  reply_.send(batch_, out_);
}

void SimulatorSession::expect_end() const {
  if (in_batch_) throw ProtocolError("END: missing at end of input");
}

void SimulatorSession::begin_batch(FieldReader& fields) {
  if (in_batch_) throw ProtocolError("MARK: the previous batch has no END");
  now_ = fields.duration("moment");
  batch_ = fields.text("seq");
  fields.expect_end();
  in_batch_ = true;
  instance_name_.clear();
  instance_ = nullptr;
}

void SimulatorSession::end_batch(FieldReader& fields) {
  fields.expect_end();
  reply_.send(batch_, out_);
  in_batch_ = false;
}

void SimulatorSession::select_instance(FieldReader& fields) {
  instance_name_ = fields.text("i");
  fields.expect_end();
  const auto found = instances_.find(instance_name_);
  instance_ = found == instances_.end() ? nullptr : &found->second;
}

void SimulatorSession::start_instance(FieldReader& fields) {
  const auto seed = fields.number<std::uint64_t>("prng");
  DecodedSettings settings = parse_settings(fields);
  instances_.erase(instance_name_);
  try {
    const auto started =
        instances_.try_emplace(instance_name_, instance_name_, std::move(settings), seed, now_, reply_);
    instance_ = &started.first->second;
  } catch (const std::exception& error) {
    throw PolicyFailure(error.what());
  }
}

void SimulatorSession::stop_instance(FieldReader& fields) {
  fields.expect_end();
  instances_.erase(instance_name_);
  instance_ = nullptr;
}

}  // namespace ironquay::adapter
