#include "process/load.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace toucandock::process {
namespace {

using std::chrono::milliseconds;

// Added to the caller's deadline. A host that has not responded by then is
// recorded as kNothing.
constexpr milliseconds kAnswerLimit{6'000};

ReportedOutcome OutcomeOfResponse(const std::string& outcome) {
  if (outcome == "not-run") {
    return ReportedOutcome::kNotRun;
  }
  return outcome == "ran" ? ReportedOutcome::kRan : ReportedOutcome::kUnknown;
}

void ReadAnswer(const http::Response& response, CallerRecord& record) {
  const auto value = codec::ParseJson(response.body);
  if (!value.ok() || !value->isObject()) {
    record.reported_outcome = ReportedOutcome::kAnswer;
    record.answered_body = response.body;
    return;
  }
  const std::string* type = http::FindHeader(response.headers, "Content-Type");
  if (type != nullptr && absl::StartsWith(*type, "application/problem+json")) {
    record.reported_outcome = OutcomeOfResponse((*value)["outcome"].asString());
    record.kind = (*value)["kind"].asString();
    return;
  }
  record.reported_outcome = ReportedOutcome::kAnswer;
  record.answered_key = (*value)["key"].asString();
  record.answered_id = (*value)["request_id"].asString();
  record.answered_body = (*value)["body"].asString();
  record.target = (*value)["target"].asString();
}

}  // namespace

// Uses a new connection for each request: on a kept connection that turns out
// to be closed, the HTTP library would send the request a second time by
// itself.
CallerRecord Call(Fleet& fleet, size_t host, const CallOptions& options) {
  CallerRecord record = {.host = host,
                         .method = options.method,
                         .key = options.key,
                         .request_id = options.request_id};
  http::Request request = {
      .method = options.method,
      .path = absl::StrCat("/", Fleet::kService, "/jobs"),
      .query = options.query,
      .headers = {
          {"Toucandock-Key", options.key},
          {"Idempotency-Key", options.request_id},
          {"Toucandock-Deadline", absl::StrCat(options.deadline.count())}}};
  if (options.method == "POST") {
    request.body = options.request_id;
  }
  const std::string address = fleet.host(host).caller_address;
  record.sent_at = std::chrono::steady_clock::now();
  const http::ExchangeResult result =
      fleet.client().Exchange(address, request,
                              {.connect_timeout = milliseconds(1'000),
                               .timeout = options.deadline + kAnswerLimit,
                               .fresh_connection = true});
  record.answered_at = std::chrono::steady_clock::now();
  if (result.progress == http::Progress::kComplete) {
    ReadAnswer(result.response, record);
  } else if (result.progress < http::Progress::kSending) {
    record.reported_outcome = ReportedOutcome::kNotConnected;
  }
  return record;
}

Load::Load(Fleet& fleet, LoadOptions options)
    : fleet_(fleet),
      options_(options),
      active_(fleet.host_count()),
      answers_(fleet.host_count()) {
  for (std::atomic<bool>& it : active_) {
    it = true;
  }
  threads_.Start(fleet.host_count(), options_.threads_per_host,
                 [this](size_t host, size_t thread) { Run(host, thread); });
}

std::vector<CallerRecord> Load::Stop() {
  threads_.Stop();
  const std::lock_guard<std::mutex> lock(mutex_);
  return records_;
}

size_t Load::CountAnswers(size_t host) const {
  return answers_[host];
}

void Load::WaitForAnswers(size_t host, size_t more) {
  const size_t wanted = CountAnswers(host) + more;
  WaitUntil(
      absl::StrCat(more, " more responses through ", fleet_.host(host).name),
      [&] { return CountAnswers(host) >= wanted; });
}

void Load::Run(size_t host, size_t thread) {
  for (size_t n = 0; !threads_.stopping() && active_[host]; ++n) {
    const CallOptions call = {
        .method = n % 2 == 0 ? "GET" : "POST",
        .key = absl::StrCat("key-", (n + thread * 7) % options_.keys),
        .request_id = absl::StrCat("request-", host, "-", thread, "-", n),
        .query = absl::StrCat("work_ms=", options_.work.count()),
        .deadline = options_.deadline};
    CallerRecord record = Call(fleet_, host, call);
    if (record.reported_outcome == ReportedOutcome::kAnswer) {
      ++answers_[host];
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      records_.push_back(std::move(record));
    }
    std::this_thread::sleep_for(options_.pause);
  }
}

}  // namespace toucandock::process
