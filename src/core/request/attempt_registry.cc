#include "core/request/attempt_registry.h"

#include <iterator>

#include "absl/strings/str_cat.h"

namespace toucandock::core::request {
namespace {

// Service names contain no slash, so the combined key is unambiguous.
std::string IndexKey(const AttemptKey& key) {
  return absl::StrCat(key.service, "/", key.request_id);
}

}  // namespace

AttemptRegistry::AttemptRegistry(const RegistryLimits& limits)
    : limits_(limits) {}

// Records the attempt unless another arrival of the same request is recorded. A
// repeated call for the same arrival confirms the record and restarts its
// retention.
BeginResult AttemptRegistry::Begin(const AttemptKey& key, TimePoint now) {
  Expire(now);
  const auto it = index_.find(IndexKey(key));
  if (it == index_.end()) {
    if (entries_.size() >= limits_.entries) {
      return BeginResult::kRefused;
    }
    Add({.key = key}, now);
    return BeginResult::kBegun;
  }
  const Entry& entry = *it->second;
  if (entry.key.fingerprint != key.fingerprint) {
    return BeginResult::kReused;
  }
  if (entry.state == AttemptState::kRan) {
    return BeginResult::kRan;
  }
  if (entry.key.token != key.token) {
    return BeginResult::kStarted;
  }
  Refresh(it->second, now);
  return BeginResult::kBegun;
}

// Records the result of an attempt. Calls for another arrival than the recorded
// one are ignored, since they may come late.
void AttemptRegistry::Finish(const AttemptKey& key,
                             FinishResult result,
                             TimePoint now) {
  Expire(now);
  const auto it = index_.find(IndexKey(key));
  if (it == index_.end() || it->second->key != key) {
    return;
  }
  if (result == FinishResult::kRan) {
    it->second->state = AttemptState::kRan;
    Refresh(it->second, now);
  } else if (it->second->state == AttemptState::kStarted) {
    entries_.erase(it->second);
    index_.erase(it);
  }
}

// Stores a record that another host kept before a change of membership. It is
// kept for the full retention again: keeping it too long is safe, dropping it
// too early is not.
void AttemptRegistry::Adopt(const AttemptRecord& record, TimePoint now) {
  Expire(now);
  const auto it = index_.find(IndexKey(record.key));
  if (it != index_.end()) {
    if (it->second->key == record.key && record.state == AttemptState::kRan) {
      it->second->state = AttemptState::kRan;
    }
    return;
  }
  if (entries_.size() < limits_.entries) {
    Add(record, now);
  }
}

std::vector<AttemptRecord> AttemptRegistry::Records(TimePoint now) {
  Expire(now);
  std::vector<AttemptRecord> records;
  records.reserve(entries_.size());
  for (const Entry& it : entries_) {
    records.push_back({it.key, it.state});
  }
  return records;
}

void AttemptRegistry::Add(const AttemptRecord& record, TimePoint now) {
  entries_.push_back({record.key, record.state, now});
  index_[IndexKey(record.key)] = std::prev(entries_.end());
}

void AttemptRegistry::Refresh(Position position, TimePoint now) {
  position->updated_at = now;
  entries_.splice(entries_.end(), entries_, position);
}

void AttemptRegistry::Expire(TimePoint now) {
  while (!entries_.empty() &&
         entries_.front().updated_at + limits_.retention <= now) {
    index_.erase(IndexKey(entries_.front().key));
    entries_.pop_front();
  }
}

}  // namespace toucandock::core::request
