#include "standins/log_topics.h"

#include <algorithm>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"

namespace toucandock::standins {
namespace {

constexpr size_t kNewestPage = 500;
// Appends can be taken back for this long.
constexpr std::chrono::seconds kMaxGoBack{60};
// Only operators and targets may write to the topics of IsReadOnly(). Their
// stand-ins identify themselves with this header.
constexpr char kWriterHeader[] = "Stand-In-Writer";

bool IsKeyed(const std::string& topic) {
  return absl::StartsWith(topic, "keyed.");
}

bool IsReadOnly(const std::string& topic) {
  return topic == "keyed.op" || topic == "keyed.servers";
}

}  // namespace

std::uint64_t NumberIn(const http::Request& request,
                       const char* name,
                       std::uint64_t fallback_value) {
  std::uint64_t value = 0;
  return absl::SimpleAtoi(http::QueryParameter(request, name), &value)
             ? value
             : fallback_value;
}

LogTopics::Partition& LogTopics::PartitionOf(const http::Request& request) {
  return partitions_[{http::QueryParameter(request, "topic"),
                      NumberIn(request, "part", 0)}];
}

http::Response LogTopics::Append(const http::Request& request) {
  const std::string topic = http::QueryParameter(request, "topic");
  if (IsReadOnly(topic) &&
      http::FindHeader(request.headers, kWriterHeader) == nullptr) {
    return http::JsonResponse(403, "{}");
  }
  bool is_truncated = false;
  const std::vector<std::string> records =
      platform::DecodeFrames(request.body, is_truncated);
  if (is_truncated) {
    return http::JsonResponse(400, "{}");
  }
  Partition& partition = PartitionOf(request);
  const std::uint64_t offset = partition.end();
  if (NumberIn(request, "at", offset) != offset) {
    return http::JsonResponse(412, absl::StrCat("{\"end\":", offset, "}"));
  }
  for (const std::string& it : records) {
    AppendRecord(topic, partition, it);
  }
  Trim(partition);
  return http::JsonResponse(
      200,
      absl::StrCat("{\"offset\":", offset, ",\"end\":", partition.end(), "}"));
}

void LogTopics::AppendRecord(const std::string& topic,
                             Partition& partition,
                             const std::string& record) {
  Undo undo{.at = std::chrono::steady_clock::now(), .record = record};
  if (IsKeyed(topic)) {
    const auto keyed = platform::DecodeKeyedRecord(record);
    if (keyed.ok()) {
      undo.key = keyed->key;
      const auto before = partition.newest.find(keyed->key);
      if (before != partition.newest.end()) {
        undo.previous = before->second;
      }
    }
    if (keyed.ok() && keyed->value.empty()) {
      partition.newest.erase(keyed->key);
    } else if (keyed.ok()) {
      partition.newest[keyed->key] = {partition.end(), keyed->value};
    }
  }
  partition.records.push_back(record);
  while (!partition.undo.empty() &&
         undo.at - partition.undo.front().at > kMaxGoBack) {
    partition.undo.pop_front();
  }
  partition.undo.push_back(std::move(undo));
}

// Takes the last append back.
void LogTopics::TakeBack(Partition& partition) {
  Undo undo = std::move(partition.undo.back());
  partition.undo.pop_back();
  if (partition.records.empty()) {
    --partition.first;
  } else {
    partition.records.pop_back();
  }
  if (undo.previous) {
    partition.newest[undo.key] = std::move(*undo.previous);
  } else {
    partition.newest.erase(undo.key);
  }
}

void LogTopics::GoBackTo(TimePoint from) {
  for (auto& [name, partition] : partitions_) {
    std::vector<std::pair<std::string, std::string>> lost;
    while (!partition.undo.empty() && partition.undo.back().at >= from) {
      if (IsReadOnly(name.first)) {
        lost.emplace_back(name.first, partition.undo.back().record);
      }
      TakeBack(partition);
    }
    lost_.insert(lost_.end(), lost.rbegin(), lost.rend());
  }
}

void LogTopics::WriteAgain() {
  for (const auto& [topic, record] : lost_) {
    AppendRecord(topic, partitions_[{topic, 0}], record);
  }
  lost_.clear();
}

void LogTopics::Trim(Partition& partition) const {
  while (partition.records.size() > retained_) {
    partition.records.pop_front();
    ++partition.first;
  }
}

bool LogTopics::HasRecords(const http::Request& request) {
  return PartitionOf(request).end() > NumberIn(request, "from", 0);
}

http::Response LogTopics::Read(const http::Request& request) {
  const Partition& partition = PartitionOf(request);
  const std::uint64_t from = NumberIn(request, "from", 0);
  const std::uint64_t max_read_bytes =
      NumberIn(request, "maxKb", 1'024) * 1'024;
  if (from < partition.first || from > partition.end()) {
    return http::JsonResponse(
        410, absl::StrCat("{\"first\":", partition.first, "}"));
  }
  platform::LogPage page{.end = partition.end(), .first = partition.first};
  size_t bytes = 0;
  for (std::uint64_t n = from; n < partition.end() && bytes < max_read_bytes;
       ++n) {
    page.records.push_back(partition.records[n - partition.first]);
    bytes += page.records.back().size();
  }
  return {.status = 200,
          .headers = {{"Content-Type", "application/octet-stream"}},
          .body = platform::EncodePage(page)};
}

http::Response LogTopics::Newest(const http::Request& request) {
  const Partition& partition = PartitionOf(request);
  const std::string after = http::QueryParameter(request, "after");
  auto it = after.empty() ? partition.newest.begin()
                          : partition.newest.upper_bound(after);
  Json::Value value;
  value["items"] = Json::Value(Json::arrayValue);
  for (; it != partition.newest.end() && value["items"].size() < kNewestPage;
       ++it) {
    Json::Value item;
    item["key"] = it->first;
    item["value"] = absl::Base64Escape(it->second.second);
    item["offset"] = codec::Uint(it->second.first);
    value["items"].append(std::move(item));
  }
  value["more"] = it != partition.newest.end();
  value["end"] = codec::Uint(partition.end());
  return http::JsonResponse(200, codec::WriteJson(value));
}

void LogTopics::SetRetained(size_t records) {
  retained_ = records;
  for (auto& [name, partition] : partitions_) {
    Trim(partition);
  }
}

void LogTopics::ForgetHistory() {
  for (auto& [name, partition] : partitions_) {
    partition.first = partition.end();
    partition.records.clear();
  }
}

}  // namespace toucandock::standins
