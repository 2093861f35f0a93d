#include "platform/log_client.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "codec/record_json.h"

namespace toucandock::platform {
namespace {

using core::control::LogEntry;
using core::control::LogReadEvent;
using core::control::Record;

constexpr int kPageSize = 500;
constexpr std::chrono::milliseconds kTransferTime{1'000};
constexpr size_t kMaxPage = 64 << 20;

absl::StatusOr<LogReadEvent> ParsePage(const std::string& text) {
  absl::StatusOr<Json::Value> value = codec::ParseJson(text);
  if (!value.ok()) {
    return value.status();
  }
  absl::Status status;
  codec::ObjectReader reader(*value, status);
  LogReadEvent page;
  page.first_retained = reader.Uint("first");
  page.end = reader.Uint("next");
  for (const Json::Value& it : reader.Array("records")) {
    codec::ObjectReader entry(it, status);
    const core::Offset offset = entry.Uint("offset");
    absl::StatusOr<Record> record = codec::ParseRecord(entry.String("data"));
    // A record that cannot be read is skipped by every host alike: its
    // neighbours' chain of leader records does not include it.
    if (record.ok()) {
      page.entries.push_back({offset, *std::move(record)});
    }
  }
  if (!status.ok()) {
    return status;
  }
  return page;
}

}  // namespace

LogClient::LogClient(http::Client& client, LogOptions options)
    : client_(client), options_(std::move(options)) {}

// Returns the record's offset. Any error means that it is not known whether
// the record was stored.
absl::StatusOr<core::Offset> LogClient::Append(const Record& record) {
  const http::Request request = {
      .method = "POST",
      .path = absl::StrCat("/streams/", options_.stream, "/records"),
      .headers = {{"Content-Type", "application/json"}},
      .body = codec::EncodeRecord(record)};
  const http::ExchangeResult result = client_.Exchange(
      options_.address, request,
      {.timeout = options_.append_timeout, .fresh_connection = true});
  if (result.progress != http::Progress::kComplete ||
      result.response.status != 200) {
    return absl::UnavailableError(
        "the log did not confirm the append; it may have been stored");
  }
  absl::StatusOr<Json::Value> value = codec::ParseJson(result.response.body);
  if (!value.ok()) {
    return value.status();
  }
  absl::Status status;
  const core::Offset offset =
      codec::ObjectReader(*value, status).Uint("offset");
  if (!status.ok()) {
    return status;
  }
  return offset;
}

// Reads from an offset on; waits for new records up to the poll time.
absl::StatusOr<LogReadEvent> LogClient::Read(core::Offset from) {
  return ReadPage(from, options_.poll_wait);
}

// Reads everything that is retained, so that the latest checkpoint is found.
absl::StatusOr<LogReadEvent> LogClient::ReadAll() {
  absl::StatusOr<LogReadEvent> all =
      ReadPage(0, std::chrono::milliseconds::zero());
  bool more = all.ok() && all->end > all->first_retained;
  while (more) {
    absl::StatusOr<LogReadEvent> page =
        ReadPage(all->end, std::chrono::milliseconds::zero());
    if (!page.ok()) {
      return page.status();
    }
    more = page->end > all->end;
    all->end = page->end;
    for (LogEntry& it : page->entries) {
      all->entries.push_back(std::move(it));
    }
  }
  return all;
}

absl::StatusOr<LogReadEvent> LogClient::ReadPage(
    core::Offset from,
    std::chrono::milliseconds wait) {
  const core::TimePoint sent_at = std::chrono::steady_clock::now();
  const http::Request request = {
      .path = absl::StrCat("/streams/", options_.stream, "/records"),
      .query = absl::StrCat("from=", from, "&limit=", kPageSize,
                            "&wait_ms=", wait.count())};
  const http::ExchangeResult result =
      client_.Exchange(options_.address, request,
                       {.timeout = wait + kTransferTime, .max_body = kMaxPage});
  if (result.progress != http::Progress::kComplete ||
      result.response.status != 200) {
    return absl::UnavailableError("the log did not answer a read");
  }
  absl::StatusOr<LogReadEvent> page = ParsePage(result.response.body);
  if (page.ok()) {
    page->sent_at = sent_at;
  }
  return page;
}

}  // namespace toucandock::platform
