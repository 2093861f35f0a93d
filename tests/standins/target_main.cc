// Stand-in for a target. Parameters of a request's query:
//   work_ms=N: how long the request runs.
//   size=N: number of bytes that are added to the response.
//   crash=1: ends the process.
//   cut=1: ends the response before it is complete.
//   late_ms=N: delay of the response after the request has run.
// Faults are set over HTTP: POST /fault?status=draining|cold|serving&shed=1|0
// &load=N
//   status: the status that the target reports.
//   shed: refuses all requests.
//   load: the number of requests in flight that the target reports.
// GET /journal returns the starts and ends of requests.
#include <unistd.h>
#include <ctime>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "codec/json.h"
#include "standins/serve.h"

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:PORT to serve on");
ABSL_FLAG(std::string, address_file, "", "file for the bound address");
ABSL_FLAG(std::string, name, "target", "name in the journal");
ABSL_FLAG(std::string, journal, "", "file that the journal is written to");
ABSL_FLAG(bool, checks_fences, true, "refuse requests without a valid grant");
ABSL_FLAG(int, slots, 4, "requests that run at a time");

namespace toucandock::standins {
namespace {

// Milliseconds of the machine's steady clock, the same for all processes.
std::uint64_t ClockMs() {
  timespec now = {};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<std::uint64_t>(now.tv_sec) * 1'000 +
         static_cast<std::uint64_t>(now.tv_nsec) / 1'000'000;
}

std::uint64_t Number(const http::Request& request, const char* name) {
  std::uint64_t value = 0;
  return absl::SimpleAtoi(http::QueryParameter(request, name), &value) ? value
                                                                       : 0;
}

std::string Header(const http::Request& request, const char* name) {
  const std::string* value = http::FindHeader(request.headers, name);
  return value == nullptr ? "" : *value;
}

class Target {
 public:
  Target()
      : name_(absl::GetFlag(FLAGS_name)),
        instance_(absl::StrCat(getpid(), "-", ClockMs())),
        checks_fences_(absl::GetFlag(FLAGS_checks_fences)),
        slots_(absl::GetFlag(FLAGS_slots)) {
    const std::string file = absl::GetFlag(FLAGS_journal);
    if (!file.empty()) {
      journal_file_.open(file, std::ios::app);
    }
  }

  http::Response Serve(const http::Request& request) {
    if (request.path == "/health") {
      return http::JsonResponse(200, HealthBody());
    }
    if (request.path == "/load") {
      return http::JsonResponse(
          200, absl::StrCat("{\"in_flight\":",
                            reported_load_ >= 0 ? reported_load_.load()
                                                : running_.load(),
                            ",\"queued\":0}"));
    }
    if (request.path == "/toucandock/grant") {
      return TakeGrant(request);
    }
    if (request.path == "/fault") {
      return SetFault(request);
    }
    if (request.path == "/journal") {
      const std::lock_guard<std::mutex> lock(mutex_);
      return http::JsonResponse(
          200, absl::StrCat("[", absl::StrJoin(journal_, ","), "]"));
    }
    return Work(request);
  }

 private:
  http::Response SetFault(const http::Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string status = http::QueryParameter(request, "status");
    if (!status.empty()) {
      status_ = status;
    }
    if (!http::QueryParameter(request, "shed").empty()) {
      shed_ = Number(request, "shed") != 0;
    }
    if (!http::QueryParameter(request, "load").empty()) {
      reported_load_ = static_cast<int>(Number(request, "load"));
    }
    return http::JsonResponse(200, "{}");
  }

  std::string HealthBody() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return HealthBodyLocked();
  }

  std::string HealthBodyLocked() const {
    return absl::StrCat("{\"status\":\"", status_,
                        "\",\"clock_ms\":", ClockMs(), ",\"instance\":\"",
                        instance_, "\",\"sequence\":", sequence_, "}");
  }

  http::Response TakeGrant(const http::Request& request) {
    const auto value = codec::ParseJson(request.body);
    if (!value.ok()) {
      return http::JsonResponse(400, "{}");
    }
    absl::Status status;
    codec::ObjectReader reader(*value, status);
    codec::ObjectReader ballot(reader.Object("ballot"), status);
    const std::uint64_t number = ballot.Uint("number");
    const std::string host = ballot.String("host");
    const std::uint64_t sequence = reader.Uint("sequence");
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto position = std::make_tuple(number, host, sequence);
    const std::string instance = reader.String("instance");
    // The first grant of a host carries no instance; the response contains it.
    if ((!instance.empty() && instance != instance_) ||
        position < std::make_tuple(ballot_number_, ballot_host_, sequence_)) {
      return http::JsonResponse(409, HealthBodyLocked());
    }
    ballot_number_ = number;
    ballot_host_ = host;
    sequence_ = sequence;
    expires_at_ms_ = reader.Uint("expires_at_ms");
    fences_.clear();
    for (const Json::Value& it : reader.Array("units")) {
      codec::ObjectReader unit(it, status);
      fences_[unit.String("unit")] = unit.Uint("fence");
    }
    return http::JsonResponse(200, HealthBodyLocked());
  }

  static http::Response NotRun(int status, const std::string& why) {
    http::Response response = http::JsonResponse(status, why);
    response.headers.emplace_back("Toucandock-Outcome", "not-run");
    return response;
  }

  bool IsGrantedLocked(const http::Request& request,
                       std::uint64_t clock_ms) const {
    const std::string unit = Header(request, "Toucandock-Unit");
    if (!checks_fences_ || unit.empty()) {
      return true;
    }
    const auto it = fences_.find(unit);
    std::uint64_t number = 0;
    return clock_ms < expires_at_ms_ && it != fences_.end() &&
           absl::SimpleAtoi(Header(request, "Toucandock-Fence"), &number) &&
           number == it->second;
  }

  // Checks the grant and writes the start to the journal under one lock and
  // with one reading of the clock, as a real target commits a change together
  // with the check of its grant.
  bool Begin(const http::Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::uint64_t clock_ms = ClockMs();
    if (!IsGrantedLocked(request, clock_ms)) {
      return false;
    }
    WriteJournalLocked("start", request, clock_ms);
    return true;
  }

  http::Response Work(const http::Request& request) {
    if (shed_ || running_.fetch_add(1) >= slots_) {
      if (!shed_) {
        --running_;
      }
      return NotRun(503, "{\"error\":\"shed\"}");
    }
    if (!Begin(request)) {
      --running_;
      return NotRun(409, "{\"error\":\"no grant for this fence\"}");
    }
    if (Number(request, "crash") != 0) {
      std::_Exit(EXIT_FAILURE);
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Number(request, "work_ms")));
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      WriteJournalLocked("end", request, ClockMs());
    }
    --running_;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Number(request, "late_ms")));
    return Answer(request);
  }

  http::Response Answer(const http::Request& request) const {
    Json::Value value;
    value["target"] = name_;
    value["method"] = request.method;
    value["path"] = request.path;
    value["key"] = Header(request, "Toucandock-Key");
    value["fence"] = Header(request, "Toucandock-Fence");
    value["request_id"] = Header(request, "Idempotency-Key");
    value["body"] = request.body;
    value["padding"] = std::string(Number(request, "size"), 'x');
    http::Response response = http::JsonResponse(200, codec::WriteJson(value));
    if (Number(request, "cut") != 0) {
      response.headers.emplace_back("Content-Length",
                                    absl::StrCat(response.body.size() + 100));
    }
    return response;
  }

  void WriteJournalLocked(const char* event,
                          const http::Request& request,
                          std::uint64_t clock_ms) {
    Json::Value value;
    value["at_ms"] = static_cast<Json::UInt64>(clock_ms);
    value["event"] = event;
    value["target"] = name_;
    value["instance"] = instance_;
    value["method"] = request.method;
    value["key"] = Header(request, "Toucandock-Key");
    value["unit"] = Header(request, "Toucandock-Unit");
    value["fence"] = Header(request, "Toucandock-Fence");
    value["request_id"] = Header(request, "Idempotency-Key");
    const std::string line = codec::WriteJson(value);
    journal_.push_back(line);
    if (journal_file_.is_open()) {
      journal_file_ << line << std::endl;
    }
  }

  const std::string name_;
  const std::string instance_;
  const bool checks_fences_;
  const int slots_;
  std::atomic<int> running_ = 0;
  std::atomic<int> reported_load_ = -1;
  std::atomic<bool> shed_ = false;
  std::mutex mutex_;
  std::string status_ = "serving";
  std::uint64_t ballot_number_ = 0;
  std::string ballot_host_;
  std::uint64_t sequence_ = 0;
  std::uint64_t expires_at_ms_ = 0;
  std::map<std::string, std::uint64_t> fences_;
  std::vector<std::string> journal_;
  std::ofstream journal_file_;
};

}  // namespace
}  // namespace toucandock::standins

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  toucandock::standins::Target target;
  return toucandock::standins::ServeUntilStopped(
      absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_address_file),
      [&](const toucandock::http::Request& request) {
        return target.Serve(request);
      });
}
