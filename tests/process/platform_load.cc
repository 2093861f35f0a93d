#include "process/platform_load.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace toucandock::process {
namespace {

using std::chrono::milliseconds;

// Added to the caller's deadline. A host that has not responded by then is
// recorded as kNoAnswer.
constexpr milliseconds kAnswerMargin{1'500};
constexpr std::uint32_t kKeys = 65'536;
constexpr std::uint32_t kKeyStep = 7'919;

PlatformOutcome OutcomeOfResponse(const http::ExchangeResult& result) {
  if (result.progress == http::Progress::kComplete) {
    const int status = result.response.status;
    if (status / 100 == 2) {
      return PlatformOutcome::kAnswer;
    }
    const bool is_not_run =
        status == 408 || status == 421 || status == 429 || status == 503;
    return is_not_run ? PlatformOutcome::kNotRun : PlatformOutcome::kFailed;
  }
  if (result.progress < http::Progress::kSending) {
    return PlatformOutcome::kNotConnected;
  }
  return result.failure == http::Failure::kTimeout ? PlatformOutcome::kNoAnswer
                                                   : PlatformOutcome::kCut;
}

}  // namespace

PlatformLoad::PlatformLoad(PlatformFleet& fleet,
                           const PlatformLoadOptions& options)
    : fleet_(fleet), options_(options), answers_(fleet.host_count()) {
  threads_.Start(fleet.host_count(), options_.threads_per_host,
                 [this](size_t host, size_t thread) { Run(host, thread); });
}

std::vector<PlatformRecord> PlatformLoad::Stop() {
  threads_.Stop();
  const std::lock_guard<std::mutex> lock(mutex_);
  return records_;
}

void PlatformLoad::WaitForAnswers(size_t host,
                                  size_t more,
                                  milliseconds limit) {
  const size_t wanted = CountAnswers(host) + more;
  WaitUntil(
      absl::StrCat(more, " more responses through ", fleet_.host(host).name),
      [&] { return CountAnswers(host) >= wanted; }, limit);
}

void PlatformLoad::Run(size_t host, size_t thread) {
  http::Client client;
  for (size_t n = 0; !threads_.stopping(); ++n) {
    PlatformRecord record =
        Call(client, host, n, absl::StrCat("r-", host, "-", thread, "-", n));
    if (record.reported_outcome == PlatformOutcome::kAnswer) {
      ++answers_[host];
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      records_.push_back(std::move(record));
    }
    std::this_thread::sleep_for(options_.pause);
  }
}

PlatformRecord PlatformLoad::Call(http::Client& client,
                                  size_t host,
                                  size_t n,
                                  const std::string& request_id) const {
  constexpr const char* kPaths[] = {"/calls/1", "/lodge/1", "/look/1"};
  const size_t kind = n % 3;
  PlatformRecord record{.host = host,
                        .request_id = request_id,
                        .idempotent = kind != 1,
                        .keyed = kind == 0};
  http::Request request{
      .method = record.idempotent ? "GET" : "POST",
      .path = kPaths[kind],
      .query = absl::StrCat("work_ms=", options_.work.count(), "&size=100"),
      .headers = {{"Host", "a.example"},
                  {"Request-Id", request_id},
                  {"Deadline-Ms", absl::StrCat(options_.deadline.count())}}};
  if (record.keyed) {
    const auto key = static_cast<std::uint32_t>(n * kKeyStep) % kKeys;
    request.headers.emplace_back("Shard-Key", absl::StrCat(key));
  } else if (!record.idempotent) {
    request.body = request_id;
  }
  record.sent_at = std::chrono::steady_clock::now();
  const http::ExchangeResult result =
      client.Exchange(fleet_.CallerAddress(host), request,
                      {.connect_timeout = milliseconds(1'000),
                       .timeout = options_.deadline + kAnswerMargin,
                       .fresh_connection = !options_.keep_connections});
  record.answered_at = std::chrono::steady_clock::now();
  record.reported_outcome = OutcomeOfResponse(result);
  record.status = result.response.status;
  record.body = result.response.body;
  return record;
}

}  // namespace toucandock::process
