// Runs the gateway program as a child process.
#pragma once
#include <sys/types.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ironquay::net {

/// The gateway program as a child process, with its configuration file and log in a temporary directory. If
/// the process has been started and exit_code() has not been called, the destructor checks that the process
/// is still running, and kills it.
class GatewayProcess {
 public:
  GatewayProcess();
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /// Writes the configuration file.
  void write_config(std::string_view text) const;
  /// Adds a variable, in the form NAME=VALUE, to the environment of the program.
  void set_variable(std::string assignment) { variables_.push_back(std::move(assignment)); }
  /// Starts the program with the configuration written last. `discovery` is the address of the discovery
  /// service. May be called again after exit_code().
  void start(const std::string& discovery);
  bool started() const { return pid_ != 0; }
  bool is_running() const;
  /// Waits for the process to exit and returns its exit code. Returns 1000 plus the signal number if a signal
  /// terminated it, or -1 if it does not exit within kWaitTimeout.
  int exit_code();

  void send_signal(int signal) const;
  /// Sends SIGTERM.
  void terminate() const;
  /// Sends SIGHUP.
  void reload() const;
  /// Stops the process (SIGSTOP). Events that occur before resume() are all pending when it continues.
  void pause() const;
  /// Continues the process (SIGCONT).
  void resume() const;

  /// The text that the process has logged so far.
  std::string log() const;
  bool has_logged(std::string_view text) const;
  std::size_t times_logged(std::string_view text) const;
  /// Waits until the log contains `text`. Returns false if it does not within kWaitTimeout.
  bool logs(std::string_view text) const;

  /// The processor time that the process has used so far.
  double cpu_seconds() const;
  /// The largest amount of memory that the process has had in use so far, in kB.
  long peak_memory_kb() const;
  /// Whether the process blocks this signal.
  bool blocks(int signal) const;

 private:
  /// The state of the process in the notation of /proc (R, S, T and so on); '?' if it does not exist.
  char state() const;
  /// The value of a field of /proc/PID/status, whose name ends with a colon.
  std::string status_field(std::string_view name) const;
  /// The path of a file of the process in /proc.
  std::string proc_file(const char* name) const;

  std::string directory_;
  std::vector<std::string> variables_;
  pid_t pid_ = 0;  // 0 before start(), -1 after exit_code() has returned the code
};

}  // namespace ironquay::net
