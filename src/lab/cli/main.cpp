// ironquay-lab runs experiments with gateways, in simulated time or on loopback sockets. See
// docs/laboratory.md.
#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <vector>

#include "lab/cli/command.hpp"

namespace {

using ironquay::lab::Command;

std::vector<std::unique_ptr<Command>> make_commands(CLI::App& program) {
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(ironquay::lab::make_emulate_command(program));
  commands.push_back(ironquay::lab::make_report_command(program));
  commands.push_back(ironquay::lab::make_stub_command(program));
  commands.push_back(ironquay::lab::make_load_command(program));
  commands.push_back(ironquay::lab::make_config_command(program));
  return commands;
}

}  // namespace

// Exceptions that main() does not catch are defects of the program and terminate it.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  CLI::App program("Experiments with Ironquay gateways");
  program.require_subcommand(1);
  const auto commands = make_commands(program);
  try {
    program.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return program.exit(error);
    std::cerr << "ironquay-lab: " << error.what() << "\n";
    return ironquay::lab::kUsageError;
  }
  try {
    for (const auto& command : commands)
      if (command->is_selected()) return command->run();
  } catch (const std::runtime_error& error) {
    std::cerr << error.what() << "\n";
  }
  return ironquay::lab::kUsageError;
}
