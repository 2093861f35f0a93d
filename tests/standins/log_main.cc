// Stand-in for the platform's log and store. It speaks the published protocol.
// Faults are set over HTTP: POST /fault?down=1|0&slow_ms=N&lose_answers=N
// &retain=N&forget=1&rebalance=1&restore_ms=N&away_ms=N
//   down: all requests get status 503.
//   slow_ms: delay before each request is handled.
//   lose_answers: the next N appends take effect, but get status 504.
//   retain: number of records that each partition keeps.
//   forget: drops all records; the newest of each key stay readable.
//   rebalance: reassigns the partitions of all groups.
//   restore_ms: the store is unavailable for away_ms and comes back from a copy
//     that lacks the appends of the last restore_ms and all group members. From
//     then on, all responses hold Store-Era, which rises by one each time.
//     Operators and targets write their lost records again after a second.
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "standins/log_groups.h"
#include "standins/log_topics.h"
#include "standins/serve.h"

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:PORT to serve on");
ABSL_FLAG(std::string, address_file, "", "file for the bound address");

namespace toucandock::standins {
namespace {

constexpr std::uint64_t kAwayMs = 500;
constexpr std::chrono::milliseconds kWriteAgainDelay{1'000};

class Log {
 public:
  http::Response Serve(const http::Request& request) {
    if (request.path == "/fault") {
      return SetFault(request);
    }
    std::unique_lock<std::mutex> lock(mutex_);
    const auto slow = std::chrono::milliseconds(slow_ms_);
    lock.unlock();
    std::this_thread::sleep_for(slow);
    lock.lock();
    AdvanceRestore();
    http::Response answer = Answer(request, lock);
    if (era_ > 0) {
      answer.headers.push_back({"Store-Era", std::to_string(era_)});
    }
    return answer;
  }

 private:
  using Clock = std::chrono::steady_clock;

  http::Response Answer(const http::Request& request,
                        std::unique_lock<std::mutex>& lock) {
    if (IsDown()) {
      return http::JsonResponse(503, "{\"error\":\"down\"}");
    }
    if (request.path == "/log-append") {
      return Append(request);
    }
    if (request.path == "/log-read") {
      return Read(request, lock);
    }
    if (request.path == "/log-newest") {
      return topics_.Newest(request);
    }
    if (request.path == "/log-join") {
      return groups_.Join(request, Clock::now());
    }
    if (request.path == "/log-leave") {
      return groups_.Leave(request, Clock::now());
    }
    return http::JsonResponse(404, "{}");
  }

  bool IsDown() const { return down_ || back_at_.has_value(); }

  // Carries out what is due of a restore.
  void AdvanceRestore() {
    const Clock::time_point now = Clock::now();
    if (back_at_ && now >= *back_at_) {
      back_at_ = std::nullopt;
      write_again_at_ = now + kWriteAgainDelay;
      ++era_;
      topics_.GoBackTo(copied_at_);
      groups_.Forget();
    }
    if (write_again_at_ && !back_at_ && now >= *write_again_at_) {
      write_again_at_ = std::nullopt;
      topics_.WriteAgain();
      appended_.notify_all();
    }
  }

  http::Response SetFault(const http::Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    down_ = NumberIn(request, "down", down_ ? 1 : 0) != 0;
    slow_ms_ = NumberIn(request, "slow_ms", slow_ms_);
    lose_answers_ = NumberIn(request, "lose_answers", lose_answers_);
    retained_ = NumberIn(request, "retain", retained_);
    topics_.SetRetained(retained_);
    if (NumberIn(request, "forget", 0) != 0) {
      topics_.ForgetHistory();
    }
    if (NumberIn(request, "rebalance", 0) != 0) {
      groups_.Rebalance();
    }
    if (!http::QueryParameter(request, "restore_ms").empty()) {
      const Clock::time_point now = Clock::now();
      copied_at_ =
          now - std::chrono::milliseconds(NumberIn(request, "restore_ms", 0));
      back_at_ = now + std::chrono::milliseconds(
                           NumberIn(request, "away_ms", kAwayMs));
    }
    appended_.notify_all();
    return http::JsonResponse(200, "{}");
  }

  http::Response Append(const http::Request& request) {
    http::Response answer = topics_.Append(request);
    appended_.notify_all();
    if (answer.status == 200 && lose_answers_ > 0) {
      --lose_answers_;
      return http::JsonResponse(504, "{\"error\":\"answer lost\"}");
    }
    return answer;
  }

  http::Response Read(const http::Request& request,
                      std::unique_lock<std::mutex>& lock) {
    const auto wait = std::chrono::milliseconds(NumberIn(request, "waitMs", 0));
    appended_.wait_for(lock, wait,
                       [&] { return IsDown() || topics_.HasRecords(request); });
    if (IsDown()) {
      return http::JsonResponse(503, "{\"error\":\"down\"}");
    }
    return topics_.Read(request);
  }

  std::mutex mutex_;
  std::condition_variable appended_;
  LogTopics topics_;
  LogGroups groups_;
  bool down_ = false;
  std::uint64_t era_ = 0;
  // Appends from this time on are lost when the store comes back.
  Clock::time_point copied_at_{};
  std::optional<Clock::time_point> back_at_;
  std::optional<Clock::time_point> write_again_at_;
  std::uint64_t slow_ms_ = 0;
  std::uint64_t lose_answers_ = 0;
  std::uint64_t retained_ = 1'000'000;
};

}  // namespace
}  // namespace toucandock::standins

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  toucandock::standins::Log log;
  return toucandock::standins::ServeUntilStopped(
      absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_address_file),
      [&](const toucandock::http::Request& request) {
        return log.Serve(request);
      });
}
