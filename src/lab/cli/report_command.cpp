// ironquay-lab report: prints a comparison of emulator runs.
#include <iostream>

#include "lab/cli/command.hpp"
#include "lab/report/report.hpp"

namespace ironquay::lab {
namespace {

class ReportCommand : public Command {
 public:
  explicit ReportCommand(CLI::App& program)
      : Command(program.add_subcommand("report", "Print a comparison of emulator runs as Markdown")) {
    CLI::App& options = subcommand();
    options.add_option("RUN", run_files_, "files with the output of emulate")->required();
    options.add_option("--plots", plot_folder_, "folder for gnuplot and data files");
  }

  int run() override {
    write_report(run_files_, plot_folder_, std::cout);
    return kSuccess;
  }

 private:
  std::vector<std::string> run_files_;
  std::string plot_folder_;
};

}  // namespace

std::unique_ptr<Command> make_report_command(CLI::App& program) {
  return std::make_unique<ReportCommand>(program);
}

}  // namespace ironquay::lab
