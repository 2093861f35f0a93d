#include "entry/record_cache.h"

#include <algorithm>

namespace toucandock::entry {
namespace {

// Running peers lag by at most a second; the rest of the space is for peers
// that have just started.
constexpr size_t kMaxBytes = 256 << 10;

// Bytes of one range of a table as text.
constexpr size_t kRangeBytes = 50;

}  // namespace

size_t EncodedBytes(const StoredRecord& record) {
  const size_t value_bytes =
      record.table ? record.table->assignments.size() * kRangeBytes
                   : record.value.size();
  return record.key.size() + value_bytes;
}

void RecordCache::StartAt(core::Offset next) {
  records_.clear();
  bytes_ = 0;
  first_ = next;
  next_ = next;
}

void RecordCache::Add(const ReadResult& result) {
  for (const StoredRecord& it : result.records) {
    if (it.offset < next_) {
      continue;
    }
    bytes_ += EncodedBytes(it) + sizeof(it);
    records_.push_back(it);
    next_ = it.offset + 1;
  }
  while (bytes_ > kMaxBytes && !records_.empty()) {
    bytes_ -= EncodedBytes(records_.front()) + sizeof(StoredRecord);
    first_ = records_.front().offset + 1;
    records_.pop_front();
  }
}

std::optional<ReadResult> RecordCache::From(core::Offset offset) const {
  if (offset < first_) {
    return std::nullopt;
  }
  ReadResult result{.status = StoreStatus::kOk, .end = next_};
  for (const StoredRecord& it : records_) {
    if (it.offset >= offset) {
      result.records.push_back(it);
    }
  }
  return result;
}

}  // namespace toucandock::entry
