#include "process/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <ratio>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "absl/strings/str_cat.h"

namespace toucandock::process {
namespace {

constexpr std::chrono::milliseconds kPoll{5};
// No fleet has as many processes as this.
constexpr size_t kMaxChildren = 256;

// Ids of the children that run; 0 marks a free entry. Atomic, since a signal
// handler reads them.
std::array<std::atomic<pid_t>, kMaxChildren> running = {};

// Signal handler that kills all children and then lets the signal end this
// process. Without it, an interrupted or aborted test would leave the processes
// of its fleet running.
void EndChildren(int signal) {
  for (const std::atomic<pid_t>& it : running) {
    if (it != 0) {
      kill(it, SIGKILL);
    }
  }
  std::signal(signal, SIG_DFL);
  std::raise(signal);
}

void EndChildrenOnSignals() {
  static std::once_flag once;
  std::call_once(once, [] {
    for (const int signal : {SIGTERM, SIGINT, SIGABRT}) {
      std::signal(signal, &EndChildren);
    }
  });
}

void RegisterChild(pid_t pid) {
  for (std::atomic<pid_t>& it : running) {
    pid_t free = 0;
    if (it.compare_exchange_strong(free, pid)) {
      return;
    }
  }
}

// Must be called before the process is reaped: afterwards the system may give
// the id to another process, which the signal handler would then kill.
void UnregisterChild(pid_t pid) {
  for (std::atomic<pid_t>& it : running) {
    pid_t expected = pid;
    it.compare_exchange_strong(expected, 0);
  }
}

}  // namespace

// Standard output and standard error go to `output_file`. Throws when the
// program cannot be started.
ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& output_file) {
  EndChildrenOnSignals();
  std::vector<char*> words;
  words.reserve(command.size() + 1);
  for (const std::string& it : command) {
    words.push_back(const_cast<char*>(it.c_str()));
  }
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&pid_, words[0], &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    pid_ = -1;
    throw std::runtime_error(absl::StrCat("cannot start ", command[0]));
  }
  RegisterChild(pid_);
}

ChildProcess::~ChildProcess() {
  Kill();
}

std::optional<int> ChildProcess::exit_code() {
  if (!exit_code_) {
    int status = 0;
    siginfo_t ended = {};
    if (waitid(P_PID, static_cast<id_t>(pid_), &ended,
               WEXITED | WNOHANG | WNOWAIT) == 0 &&
        ended.si_pid == pid_) {
      UnregisterChild(pid_);
      waitpid(pid_, &status, 0);
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
  }
  return exit_code_;
}

void ChildProcess::Send(int signal) {
  if (!exit_code()) {
    kill(pid_, signal);
  }
}

// SIGKILL also ends a process that SIGSTOP has stopped.
void ChildProcess::Kill() {
  if (exit_code()) {
    return;
  }
  kill(pid_, SIGKILL);
  UnregisterChild(pid_);
  int status = 0;
  while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  exit_code_ = -SIGKILL;
}

// Reads /proc/PID/stat, whose resolution is one clock tick (10 ms).
std::chrono::nanoseconds ChildProcess::CpuTime() const {
  std::ifstream stream(absl::StrCat("/proc/", pid_, "/stat"));
  std::string text;
  std::getline(stream, text);
  // The program's name, in parentheses, may contain blanks, so fields are
  // counted from its end. Fields 14 and 15 hold the user and system time.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int n = 3; n < 14; ++n) {
    fields >> skipped;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  const std::chrono::nanoseconds tick(std::nano::den / sysconf(_SC_CLK_TCK));
  return (user + system) * tick;
}

int ChildProcess::WaitForExit(const std::string& what,
                              std::chrono::milliseconds limit) {
  WaitUntil(
      what, [this] { return exit_code().has_value(); }, limit);
  return *exit_code_;
}

void WaitUntil(const std::string& what,
               const std::function<bool()>& condition,
               std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      throw std::runtime_error(absl::StrCat("timed out after ", limit.count(),
                                            " ms waiting for: ", what));
    }
    std::this_thread::sleep_for(kPoll);
  }
}

}  // namespace toucandock::process
