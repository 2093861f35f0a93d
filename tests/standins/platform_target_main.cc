// Stand-in for a target on the users' platform. It registers itself in the
// store, accepts grants of keys, and runs requests. Parameters of a request's
// query:
//   work_ms=N: how long the request runs.
//   size=N: number of bytes that are added to the response.
//   crash=1: ends the process.
//   leaving=1: the response declares that the target leaves.
//   pause_ms=N: the request is refused with 503 and a Retry-After of N ms.
// Faults are set over HTTP: POST /fault?fail_percent=N&lose_percent=N&slow_ms=N
//   fail_percent: share of the requests that get status 500.
//   lose_percent: share of the requests whose response is lost.
//   slow_ms: is added to the time of each request.
//   leaving: with 1, each response declares that the target leaves, while its
//     entry still says that it is ready.
//   pause_ms: each request is refused with 503 and a Retry-After of N ms.
// On SIGTERM the target registers itself as draining, serves for some time,
// removes its entry and ends.
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "http/client.h"
#include "platform/log_protocol.h"
#include "platform/wire_time.h"
#include "standins/log_topics.h"
#include "standins/serve.h"

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:PORT to serve on");
ABSL_FLAG(std::string, address_file, "", "file for the bound address");
ABSL_FLAG(std::string,
          listed_address,
          "",
          "address that the store lists; empty: the bound one");
ABSL_FLAG(std::string, id, "i-1", "id of the target");
ABSL_FLAG(std::string, service, "callboard", "service that it belongs to");
ABSL_FLAG(std::string, zone, "lk-west-a", "zone that it runs in");
ABSL_FLAG(std::string, log, "", "IP:PORT of the store");
ABSL_FLAG(std::string, journal, "", "file that the journal is written to");
ABSL_FLAG(bool, keyed, false, "runs only requests for keys that it holds");
ABSL_FLAG(int, slots, 4, "requests that run at a time");

namespace toucandock::standins {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kHeartbeat{300};
// A draining target continues to serve for this long.
constexpr milliseconds kDrain{2'500};
constexpr int kQueue = 16;
constexpr std::uint32_t kKeys = 65'536;

// Journals hold microseconds, since the next owner's grant may follow a release
// within 1 ms and the checker has to put them in order.
std::int64_t Microseconds(Clock::time_point at) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             at.time_since_epoch())
      .count();
}

std::string Header(const http::Request& request, const char* name) {
  const std::string* value = http::FindHeader(request.headers, name);
  return value == nullptr ? "" : *value;
}

// Returns true with the given probability.
bool OccursRandomly(std::uint64_t percent) {
  thread_local std::minstd_rand random{std::random_device{}()};
  return random() % 100 < percent;
}

// The grant of one key. Grants with a lower fence than the highest one seen are
// refused.
struct HeldGrant {
  std::uint64_t fence = 0;
  std::uint64_t highest_seen = 0;
  Clock::time_point until{};
};

class Target {
 public:
  Target()
      : id_(absl::GetFlag(FLAGS_id)),
        keyed_(absl::GetFlag(FLAGS_keyed)),
        slots_(absl::GetFlag(FLAGS_slots)),
        start_time_ms_(std::chrono::duration_cast<milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count()),
        held_grants_(kKeys) {
    const std::string file = absl::GetFlag(FLAGS_journal);
    if (!file.empty()) {
      journal_.open(file, std::ios::app);
    }
  }

  http::Response Serve(const http::Request& request) {
    if (request.path == "/fault") {
      fail_percent_ = NumberIn(request, "fail_percent", fail_percent_);
      lose_percent_ = NumberIn(request, "lose_percent", lose_percent_);
      slow_ms_ = NumberIn(request, "slow_ms", slow_ms_);
      leaving_ = NumberIn(request, "leaving", leaving_);
      pause_ms_ = NumberIn(request, "pause_ms", pause_ms_);
      return http::JsonResponse(200, "{}");
    }
    const std::string expected = Header(request, "Expected-Instance");
    if (!expected.empty() && expected != id_) {
      return NotExecuted(421);
    }
    if (request.path == "/grant") {
      return Grant(request);
    }
    if (request.path == "/release") {
      return Release(request);
    }
    http::Response response = Respond(request);
    if (leaving_ != 0 || NumberIn(request, "leaving", 0) != 0) {
      response.headers.emplace_back("Server-Leaving", "1");
      WriteJournalEvent("declared",
                        {{"notice", "leaving"},
                         {"request_id", Header(request, "Request-Id")}});
    }
    return response;
  }

  void Register(const std::string& address) {
    address_ = address;
    heartbeat_ = std::thread([this] {
      while (!ended_) {
        WriteEntry();
        std::this_thread::sleep_for(kHeartbeat);
      }
    });
  }

  // Returns when the target has drained and its entry is removed.
  void Leave() {
    draining_ = true;
    std::this_thread::sleep_for(kDrain);
    ended_ = true;
    heartbeat_.join();
    Append("");
  }

 private:
  void WriteEntry() {
    Json::Value entry;
    entry["service"] = absl::GetFlag(FLAGS_service);
    entry["address"] = address_;
    entry["zone"] = absl::GetFlag(FLAGS_zone);
    entry["version"] = "v1";
    entry["concurrency"] = slots_;
    entry["state"] = draining_ ? "draining" : "ready";
    entry["warmupLeft"] = "0ms";
    entry["sequence"] = codec::Uint(++sequence_);
    entry["born"] = Json::Int64(start_time_ms_);
    const bool was_listed = listed_draining_ == draining_ && sequence_ > 1;
    // Writes only if the state has changed since the last successful write; the
    // sequence alone is no reason to write again.
    if (!was_listed && Append(codec::WriteJson(entry))) {
      listed_draining_ = draining_.load();
      WriteJournalEvent(draining_ ? "draining" : "listed", {});
    }
  }

  bool Append(const std::string& value) {
    const http::ExchangeResult result = client_.Exchange(
        absl::GetFlag(FLAGS_log),
        {.method = "POST",
         .path = "/log-append",
         .query = "topic=keyed.servers&part=0",
         .headers = {{"Stand-In-Writer", "target"}},
         .body = platform::EncodeFrame(
             platform::EncodeKeyedRecord({.key = id_, .value = value}))},
        {.timeout = milliseconds(1'000)});
    return result.progress == http::Progress::kComplete &&
           result.response.status == 200;
  }

  // Refuses the request with a pause if one is set, and otherwise runs it.
  http::Response Respond(const http::Request& request) {
    const std::uint64_t pause_ms = NumberIn(request, "pause_ms", pause_ms_);
    if (pause_ms == 0) {
      return Run(request);
    }
    WriteJournalEvent("declared",
                      {{"notice", "pause"},
                       {"request_id", Header(request, "Request-Id")},
                       {"pause_ms", std::to_string(pause_ms)}});
    http::Response response = NotExecuted(503);
    response.headers.emplace_back("Request-Id", Header(request, "Request-Id"));
    response.headers.emplace_back(
        "Retry-After", absl::StrCat(static_cast<double>(pause_ms) / 1'000));
    return response;
  }

  http::Response NotExecuted(int status) const {
    http::Response response{.status = status, .body = "not executed"};
    response.headers = {{"Not-Executed", "1"}, {"Instance-Id", id_}};
    return response;
  }

  struct KeyCall {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
  };

  static absl::StatusOr<KeyCall> ParseKeyCall(codec::ObjectReader& fields,
                                              absl::Status& status) {
    KeyCall call{.first = static_cast<std::uint32_t>(fields.Uint("from")),
                 .last = static_cast<std::uint32_t>(fields.Uint("to")),
                 .fence = fields.Uint("fence")};
    if (status.ok() && (call.first > call.last || call.last >= kKeys)) {
      fields.Fail("not a range of keys");
    }
    if (!status.ok()) {
      return status;
    }
    return call;
  }

  http::Response Grant(const http::Request& request) {
    const auto value = codec::ParseJson(request.body);
    absl::Status status = value.status();
    const Json::Value body = value.ok() ? *value : Json::Value();
    codec::ObjectReader fields(body, status);
    const auto call = ParseKeyCall(fields, status);
    const core::Duration lease = platform::ReadTime(fields, "hold_time");
    if (!call.ok() || !status.ok()) {
      return http::JsonResponse(400, "{}");
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto begin = held_grants_.begin() + call->first;
    const auto end = held_grants_.begin() + call->last + 1;
    const bool is_fenced = std::any_of(
        begin, end,
        [&call](const HeldGrant& it) { return it.highest_seen > call->fence; });
    if (is_fenced) {
      return http::JsonResponse(409, "{}");
    }
    const Clock::time_point until = Clock::now() + lease;
    std::fill(
        begin, end,
        HeldGrant{
            .fence = call->fence, .highest_seen = call->fence, .until = until});
    WriteJournalLocked(
        "grant",
        {{"first", std::to_string(call->first)},
         {"last", std::to_string(call->last)},
         {"fence", std::to_string(call->fence)},
         {"lease_ms",
          std::to_string(
              std::chrono::duration_cast<milliseconds>(lease).count())}});
    return http::JsonResponse(200, "{}");
  }

  // Responds when no request for the keys is running any more.
  http::Response Release(const http::Request& request) {
    const auto value = codec::ParseJson(request.body);
    absl::Status status = value.status();
    const Json::Value body = value.ok() ? *value : Json::Value();
    codec::ObjectReader fields(body, status);
    const auto call = ParseKeyCall(fields, status);
    if (!call.ok()) {
      return http::JsonResponse(400, "{}");
    }
    std::unique_lock<std::mutex> lock(mutex_);
    for (std::uint32_t key = call->first; key <= call->last; ++key) {
      held_grants_[key].until = {};
    }
    WriteJournalLocked("release", {{"first", std::to_string(call->first)},
                                   {"last", std::to_string(call->last)},
                                   {"fence", std::to_string(call->fence)}});
    work_ended_.wait(lock, [&] {
      return std::none_of(running_keys_.begin(), running_keys_.end(),
                          [&call](std::uint32_t key) {
                            return call->first <= key && key <= call->last;
                          });
    });
    http::Response response = http::JsonResponse(200, "{}");
    response.headers.emplace_back("Handover",
                                  absl::StrCat(id_, "-", ++handovers_));
    return response;
  }

  http::Response Run(const http::Request& request) {
    std::uint64_t deadline_ms = 10'000;
    (void)absl::SimpleAtoi(Header(request, "Deadline-Ms"), &deadline_ms);
    const Clock::time_point deadline = Clock::now() + milliseconds(deadline_ms);
    std::uint32_t key = 0;
    if (keyed_ && (!absl::SimpleAtoi(Header(request, "Shard-Key"), &key) ||
                   key >= kKeys)) {
      return NotExecuted(400);
    }
    std::unique_lock<std::mutex> lock(mutex_);
    if (waiting_ >= kQueue) {
      return NotExecuted(503);
    }
    ++waiting_;
    const bool has_slot = work_ended_.wait_until(
        lock, deadline, [this] { return running_ < slots_; });
    --waiting_;
    if (!has_slot) {
      return NotExecuted(503);
    }
    std::string fence;
    if (keyed_) {
      if (Clock::now() >= held_grants_[key].until) {
        return NotExecuted(421);
      }
      fence = std::to_string(held_grants_[key].fence);
      running_keys_.push_back(key);
    }
    ++running_;
    WriteJournalLocked("start", {{"request_id", Header(request, "Request-Id")},
                                 {"method", request.method},
                                 {"path", request.path},
                                 {"key", std::to_string(key)},
                                 {"fence", fence}});
    lock.unlock();
    if (NumberIn(request, "crash", 0) != 0) {
      std::_Exit(EXIT_FAILURE);
    }
    const bool in_time = Work(request, deadline);
    lock.lock();
    --running_;
    if (keyed_) {
      running_keys_.erase(
          std::find(running_keys_.begin(), running_keys_.end(), key));
    }
    WriteJournalLocked("end", {{"request_id", Header(request, "Request-Id")}});
    work_ended_.notify_all();
    return Answer(request, in_time);
  }

  // Returns false when the deadline has passed. Ends early when the caller
  // closes the connection.
  bool Work(const http::Request& request, Clock::time_point deadline) const {
    const milliseconds work(NumberIn(request, "work_ms", 0) + slow_ms_);
    const Clock::time_point end = std::min(deadline, Clock::now() + work);
    pollfd caller = {.fd = request.socket, .events = POLLRDHUP};
    const auto left =
        std::chrono::ceil<milliseconds>(end - Clock::now()).count();
    poll(&caller, 1, static_cast<int>(std::max<std::int64_t>(0, left)));
    return Clock::now() < deadline;
  }

  http::Response Answer(const http::Request& request, bool in_time) {
    http::Response response;
    response.status = in_time ? 200 : 504;
    if (in_time && OccursRandomly(fail_percent_)) {
      response.status = 500;
    }
    response.body = absl::StrCat(
        id_, " ", Header(request, "Request-Id"), " ", request.body.size(), " ",
        std::string(NumberIn(request, "size", 0), 'x'));
    response.headers = {
        {"Request-Id", Header(request, "Request-Id")},
        {"Response-Signature",
         absl::StrCat(id_, ".", std::hash<std::string>{}(response.body))},
        {"Instance-Id", id_},
        {"Keep-Alive", "timeout=10"},
        {"Instance-Load",
         absl::StrCat(running_.load(), ",", waiting_.load(), ",", slots_)}};
    if (OccursRandomly(lose_percent_)) {
      // The announced length is too large, so the connection ends before the
      // response is complete: the request has run and its response is lost.
      response.headers.emplace_back("Content-Length",
                                    absl::StrCat(response.body.size() + 100));
    }
    return response;
  }

  using Fields = std::vector<std::pair<const char*, std::string>>;

  void WriteJournalEvent(const char* event, const Fields& fields) {
    const std::lock_guard<std::mutex> lock(mutex_);
    WriteJournalLocked(event, fields);
  }

  void WriteJournalLocked(const char* event, const Fields& fields) {
    if (!journal_.is_open()) {
      return;
    }
    Json::Value value;
    value["at_us"] = Json::Int64(Microseconds(Clock::now()));
    value["event"] = event;
    value["target"] = id_;
    value["born"] = Json::Int64(start_time_ms_);
    for (const auto& [name, text] : fields) {
      value[name] = text;
    }
    journal_ << codec::WriteJson(value) << std::endl;
  }

  const std::string id_;
  const bool keyed_;
  const int slots_;
  const std::int64_t start_time_ms_;
  std::string address_;
  http::Client client_;
  std::thread heartbeat_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> ended_ = false;
  bool listed_draining_ = false;
  std::uint64_t sequence_ = 0;
  std::atomic<std::uint64_t> fail_percent_ = 0;
  std::atomic<std::uint64_t> lose_percent_ = 0;
  std::atomic<std::uint64_t> slow_ms_ = 0;
  std::atomic<std::uint64_t> leaving_ = 0;
  std::atomic<std::uint64_t> pause_ms_ = 0;
  std::mutex mutex_;
  // Notified when a request has ended.
  std::condition_variable work_ended_;
  std::vector<HeldGrant> held_grants_;
  std::vector<std::uint32_t> running_keys_;
  std::atomic<int> running_ = 0;
  std::atomic<int> waiting_ = 0;
  std::uint64_t handovers_ = 0;
  std::ofstream journal_;
};

int Main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const sigset_t signals = BlockStopSignals();
  Target target;
  const auto server = StartServer(
      absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_address_file),
      [&](const http::Request& request) { return target.Serve(request); });
  if (!server.ok()) {
    std::cerr << server.status().message() << "\n";
    return EXIT_FAILURE;
  }
  const std::string listed = absl::GetFlag(FLAGS_listed_address);
  target.Register(listed.empty() ? (*server)->address() : listed);
  int signal = 0;
  sigwait(&signals, &signal);
  target.Leave();
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace
}  // namespace toucandock::standins

int main(int argc, char** argv) {
  return toucandock::standins::Main(argc, argv);
}
