#ifndef TOUCANDOCK_PROCESS_LOAD_H_
#define TOUCANDOCK_PROCESS_LOAD_H_

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include "process/caller_threads.h"
#include "process/fleet.h"

namespace toucandock::process {

// What a caller learned about its request.
enum class ReportedOutcome {
  // A response of the target arrived.
  kAnswer,
  // The host returned a problem document whose outcome is "ran", "not-run" or
  // another one.
  kRan,
  kNotRun,
  kUnknown,
  // The host refused the connection, so that nothing was sent.
  kNotConnected,
  // The connection ended or timed out without a complete response.
  kNothing,
};

// A request and its outcome as the caller saw it.
struct CallerRecord {
  size_t host = 0;
  std::string method;
  std::string key;
  std::string request_id;
  std::chrono::steady_clock::time_point sent_at;
  std::chrono::steady_clock::time_point answered_at;
  ReportedOutcome reported_outcome = ReportedOutcome::kNothing;
  // Error kind of a problem document.
  std::string kind;
  // Copied from the target's response.
  std::string answered_key;
  std::string answered_id;
  std::string answered_body;
  std::string target;
};

struct CallOptions {
  std::string method = "GET";
  std::string key;
  std::string request_id;
  std::string query;
  std::chrono::milliseconds deadline{4'000};
};

// Sends one request through the host and waits for its response.
CallerRecord Call(Fleet& fleet, size_t host, const CallOptions& options);

struct LoadOptions {
  size_t threads_per_host = 2;
  size_t keys = 32;
  std::chrono::milliseconds pause{4};
  std::chrono::milliseconds deadline{4'000};
  // How long a target works on each request.
  std::chrono::milliseconds work{1};
};

// Callers that send GET and POST requests with unique ids through all hosts
// until Stop(). Keys are shared by the callers.
class Load {
 public:
  explicit Load(Fleet& fleet, LoadOptions options = {});

  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  std::vector<CallerRecord> Stop();
  size_t CountAnswers(size_t host) const;
  // Waits until `more` further responses of targets have arrived through the
  // host.
  void WaitForAnswers(size_t host, size_t more);
  void StopHost(size_t host) { active_[host] = false; }

 private:
  void Run(size_t host, size_t thread);

  Fleet& fleet_;
  const LoadOptions options_;
  std::vector<std::atomic<bool>> active_;
  std::vector<std::atomic<size_t>> answers_;
  std::mutex mutex_;
  std::vector<CallerRecord> records_;
  // Declared last, so that its destructor joins the threads before the members
  // that they use are destroyed.
  CallerThreads threads_;
};

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_LOAD_H_
