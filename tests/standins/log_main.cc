// Stand-in for the platform's append-only log. Faults are set over HTTP:
// POST /fault?down=1|0&slow_ms=N&lose_answers=N&retain=N
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "standins/serve.h"

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:PORT to serve on");
ABSL_FLAG(std::string, address_file, "", "file for the bound address");

namespace toucandock::standins {
namespace {

std::uint64_t Number(const http::Request& request,
                     const char* name,
                     std::uint64_t otherwise) {
  std::uint64_t value = 0;
  return absl::SimpleAtoi(http::QueryParameter(request, name), &value)
             ? value
             : otherwise;
}

class Log {
 public:
  http::Response Serve(const http::Request& request) {
    if (request.path == "/fault") {
      return SetFault(request);
    }
    std::unique_lock<std::mutex> lock(mutex_);
    const auto slow = std::chrono::milliseconds(slow_ms_);
    const bool down = down_;
    lock.unlock();
    std::this_thread::sleep_for(slow);
    if (down) {
      return http::JsonResponse(503, "{\"error\":\"down\"}");
    }
    return request.method == "POST" ? Append(request) : Read(request);
  }

 private:
  struct Stream {
    std::uint64_t first = 0;
    std::deque<std::string> records;
  };

  http::Response SetFault(const http::Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    down_ = Number(request, "down", down_ ? 1 : 0) != 0;
    slow_ms_ = Number(request, "slow_ms", slow_ms_);
    lose_answers_ = Number(request, "lose_answers", lose_answers_);
    retain_ = Number(request, "retain", retain_);
    appended_.notify_all();
    return http::JsonResponse(200, "{}");
  }

  http::Response Append(const http::Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Stream& stream = streams_[request.path];
    const std::uint64_t offset = stream.first + stream.records.size();
    stream.records.push_back(request.body);
    while (stream.records.size() > retain_) {
      stream.records.pop_front();
      ++stream.first;
    }
    appended_.notify_all();
    if (lose_answers_ > 0) {
      --lose_answers_;
      return http::JsonResponse(504, "{\"error\":\"answer lost\"}");
    }
    return http::JsonResponse(200, absl::StrCat("{\"offset\":", offset, "}"));
  }

  http::Response Read(const http::Request& request) {
    const std::uint64_t from = Number(request, "from", 0);
    const std::uint64_t limit = Number(request, "limit", 100);
    const auto wait = std::chrono::milliseconds(Number(request, "wait_ms", 0));
    std::unique_lock<std::mutex> lock(mutex_);
    Stream& stream = streams_[request.path];
    appended_.wait_for(lock, wait, [&] {
      return down_ || stream.first + stream.records.size() > from;
    });
    if (down_) {
      return http::JsonResponse(503, "{\"error\":\"down\"}");
    }
    Json::Value value;
    value["first"] = static_cast<Json::UInt64>(stream.first);
    value["records"] = Json::Value(Json::arrayValue);
    std::uint64_t next = std::max(from, stream.first);
    while (next < stream.first + stream.records.size() &&
           value["records"].size() < limit) {
      Json::Value record;
      record["offset"] = static_cast<Json::UInt64>(next);
      record["data"] = stream.records[next - stream.first];
      value["records"].append(record);
      ++next;
    }
    value["next"] = static_cast<Json::UInt64>(next);
    return http::JsonResponse(200, codec::WriteJson(value));
  }

  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, Stream> streams_;
  bool down_ = false;
  std::uint64_t slow_ms_ = 0;
  std::uint64_t lose_answers_ = 0;
  std::uint64_t retain_ = 1'000'000;
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
