#ifndef TOUCANDOCK_PROCESS_CHILD_PROCESS_H_
#define TOUCANDOCK_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace toucandock::process {

// One process that this test started. It is ended, by its id, with the object.
class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& command,
               const std::string& output_file);
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }
  // Empty while the process runs; minus the signal number when one ended it.
  std::optional<int> exit_code();

  void Send(int signal);
  void Kill();
  // Processor time, user and system, that the process has used so far.
  std::chrono::nanoseconds CpuTime() const;
  int WaitForExit(const std::string& what, std::chrono::milliseconds limit);

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

void WaitUntil(const std::string& what,
               const std::function<bool()>& condition,
               std::chrono::milliseconds limit = std::chrono::seconds(20));

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_CHILD_PROCESS_H_
