#ifndef TOUCANDOCK_PROCESS_CHILD_PROCESS_H_
#define TOUCANDOCK_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace toucandock::process {

// A process that the test started. The destructor kills it by its id.
class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& command,
               const std::string& output_file);
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  // Empty while the process runs. Negative when a signal ended it: minus the
  // signal's number.
  std::optional<int> exit_code();

  void Send(int signal);
  void Kill();
  // Processor time, user and system, that the process has used so far.
  std::chrono::nanoseconds CpuTime() const;
  // Returns the exit code. Throws when the process still runs at the limit.
  int WaitForExit(const std::string& what, std::chrono::milliseconds limit);

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

// Throws an error that contains `what` when the condition is still false at the
// limit.
void WaitUntil(const std::string& what,
               const std::function<bool()>& condition,
               std::chrono::milliseconds limit = std::chrono::seconds(20));

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_CHILD_PROCESS_H_
