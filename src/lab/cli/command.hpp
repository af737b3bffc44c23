// The interface of the sub-commands of ironquay-lab, and the exit codes that they share.
#pragma once
#include <CLI/CLI.hpp>
#include <memory>

namespace ironquay::lab {

// ---- Exit codes

constexpr int kSuccess = 0;
constexpr int kUsageError = 2;          // the command line or an input file is invalid
constexpr int kInvariantViolation = 3;  // the runs completed, but a gateway violated an invariant

// A sub-command. The constructor of a derived class adds the sub-command and its options to the command line.
class Command {
 public:
  virtual ~Command() = default;
  // Whether the parsed command line contains this sub-command.
  bool is_selected() const { return subcommand_->parsed(); }
  // Runs the sub-command with the options of the parsed command line and returns the exit code. Throws
  // std::runtime_error if the input is invalid.
  virtual int run() = 0;

 protected:
  // `subcommand` must outlive this object.
  explicit Command(CLI::App* subcommand) : subcommand_(subcommand) {}
  CLI::App& subcommand() { return *subcommand_; }

 private:
  CLI::App* subcommand_;
};

// Each of these functions adds one sub-command to `program`, which must outlive the returned object.
std::unique_ptr<Command> make_emulate_command(CLI::App& program);
std::unique_ptr<Command> make_report_command(CLI::App& program);
std::unique_ptr<Command> make_stub_command(CLI::App& program);
std::unique_ptr<Command> make_load_command(CLI::App& program);
std::unique_ptr<Command> make_config_command(CLI::App& program);

}  // namespace ironquay::lab
