// Runs gateways for the operators' simulator: reads batches of events from standard input and writes a reply
// to each batch to standard output.
//
// Exits with 0 at end of input. Exits with 1 if the input is malformed or a load balancer throws an
// exception; it then writes one line to standard error that contains the input line number and the error.
#include <iostream>
#include <string>

#include "adapter/errors.hpp"
#include "adapter/simulator_session.hpp"

namespace {

using ironquay::adapter::PolicyFailure;
using ironquay::adapter::ProtocolError;
using ironquay::adapter::SimulatorSession;

void report_error(std::size_t line_number, const std::string& message) {
  std::cerr << "line " << line_number << ": " << message << '\n';
}

int run_session() {
  SimulatorSession session(std::cout);
  std::string line;
  std::size_t line_number = 0;
  try {
    while (std::getline(std::cin, line)) {
      ++line_number;
      if (!line.empty()) session.receive(line);
    }
    session.expect_end();
  } catch (const ProtocolError& error) {
    report_error(line_number, error.what());
    return 1;
  } catch (const PolicyFailure& failure) {
    session.reply_with_panic(failure);
    report_error(line_number, std::string("load balancer failed: ") + failure.what());
    return 1;
  }
  return 0;
}

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return run_session();
}
