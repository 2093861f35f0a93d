#ifndef TOUCANDOCK_PROCESS_PLATFORM_LOAD_H_
#define TOUCANDOCK_PROCESS_PLATFORM_LOAD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "process/caller_threads.h"
#include "process/platform_fleet.h"

namespace toucandock::process {

// What a caller learned about its request.
enum class PlatformOutcome {
  // A 2xx response of a target.
  kAnswer,
  // Status 408, 421, 429 or 503: the request has not run and never will.
  kNotRun,
  // Any other status.
  kFailed,
  // No connection was made, so that nothing was sent.
  kNotConnected,
  // The connection ended without a complete response.
  kCut,
  // No response arrived within the caller's deadline and a margin.
  kNoAnswer,
};

// A request and its outcome as the caller saw it.
struct PlatformRecord {
  size_t host = 0;
  std::string request_id;
  // The request may run twice.
  bool idempotent = true;
  bool keyed = false;
  std::chrono::steady_clock::time_point sent_at;
  std::chrono::steady_clock::time_point answered_at;
  PlatformOutcome reported_outcome = PlatformOutcome::kCut;
  int status = 0;
  std::string body;
};

struct PlatformLoadOptions {
  size_t threads_per_host = 4;
  std::chrono::milliseconds pause{10};
  std::chrono::milliseconds work{10};
  std::chrono::milliseconds deadline{2'000};
  // Callers reuse open connections; otherwise each request has its own.
  bool keep_connections = true;
};

// Callers that send keyed, idempotent and non-idempotent requests in turn
// through all hosts until Stop().
class PlatformLoad {
 public:
  PlatformLoad(PlatformFleet& fleet, const PlatformLoadOptions& options);

  PlatformLoad(const PlatformLoad&) = delete;
  PlatformLoad& operator=(const PlatformLoad&) = delete;

  std::vector<PlatformRecord> Stop();
  size_t CountAnswers(size_t host) const { return answers_[host]; }
  // Waits until `more` further responses of targets have arrived through the
  // host.
  void WaitForAnswers(size_t host,
                      size_t more,
                      std::chrono::milliseconds limit);

 private:
  void Run(size_t host, size_t thread);
  PlatformRecord Call(http::Client& client,
                      size_t host,
                      size_t n,
                      const std::string& request_id) const;

  PlatformFleet& fleet_;
  const PlatformLoadOptions options_;
  std::vector<std::atomic<size_t>> answers_;
  std::mutex mutex_;
  std::vector<PlatformRecord> records_;
  // Declared last, so that its destructor joins the threads before the members
  // that they use are destroyed.
  CallerThreads threads_;
};

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_PLATFORM_LOAD_H_
