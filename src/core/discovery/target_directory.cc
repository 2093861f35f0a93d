#include "core/discovery/target_directory.h"

#include <algorithm>

namespace toucandock::core::discovery {

// Returns whether the set of usable targets changed.
bool TargetDirectory::Apply(const TargetEntry& entry, TimePoint now) {
  LastSeen& seen = last_seen_[entry.life.id];
  const bool newer_life = entry.life.born > seen.born;
  if (entry.life.born < seen.born ||
      (!newer_life && entry.sequence < seen.sequence)) {
    return false;
  }
  // A target that was seen leaving does not return in the same life.
  const bool draining = entry.draining || (!newer_life && seen.draining);
  seen = {.born = entry.life.born,
          .sequence = entry.sequence,
          .draining = draining};
  lapsed_.erase(entry.life.id);
  ListedTarget listed{.entry = entry, .warm_at = now + entry.warm_up_left};
  listed.entry.draining = draining;
  const auto it = targets_.find(entry.life.id);
  const bool changed =
      it == targets_.end() || !(it->second.entry == listed.entry);
  targets_.insert_or_assign(entry.life.id, std::move(listed));
  return changed;
}

bool TargetDirectory::Remove(const std::string& id, TimePoint now) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return false;
  }
  // Targets that were leaving are gone at once; others may have lapsed only
  // because the store was away.
  if (InLapseGrace(now) && !it->second.entry.draining) {
    std::optional<TimePoint> end;
    if (IsWitnessed(now)) {
      end = witnessed_since_ + terms_.lapse_grace;
    } else if (!store_lost_) {
      end = returned_at_ + terms_.lapse_grace;
    }
    lapsed_.emplace(id, end);
    return false;
  }
  targets_.erase(it);
  return true;
}

// Applies a complete listing of the store: what is missing there was removed.
bool TargetDirectory::RetainOnly(const std::vector<std::string>& ids,
                                 TimePoint now) {
  std::vector<std::string> missing;
  for (const auto& [id, target] : targets_) {
    if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
      missing.push_back(id);
    }
  }
  bool changed = false;
  for (const std::string& id : missing) {
    changed = Remove(id, now) || changed;
  }
  return changed;
}

void TargetDirectory::OnStoreReturned(TimePoint now) {
  if (store_lost_) {
    store_lost_ = false;
    returned_at_ = now;
    for (auto& [id, end] : lapsed_) {
      if (!end) {
        end = now + terms_.lapse_grace;
      }
    }
  }
}

void TargetDirectory::OnStoreWitnessed(TimePoint since, TimePoint now) {
  witnessed_since_ = since;
  witnessed_until_ = now + terms_.witness_lifetime;
  for (auto& [id, end] : lapsed_) {
    end = std::min(end.value_or(TimePoint::max()), since + terms_.lapse_grace);
  }
}

// Returns whether removals took effect.
bool TargetDirectory::Tick(TimePoint now) {
  const bool may_miss_entries =
      store_lost_ || now < returned_at_ + terms_.read_time;
  if (lapsed_.empty() || (may_miss_entries && !IsWitnessed(now))) {
    return false;
  }
  return std::erase_if(lapsed_, [this, now](const auto& it) {
           const bool over = it.second && now >= *it.second;
           if (over) {
             targets_.erase(it.first);
           }
           return over;
         }) > 0;
}

bool TargetDirectory::IsWitnessed(TimePoint now) const {
  return now < witnessed_until_;
}

bool TargetDirectory::InLapseGrace(TimePoint now) const {
  if (IsWitnessed(now)) {
    return now < witnessed_since_ + terms_.lapse_grace;
  }
  return store_lost_ || now < returned_at_ + terms_.lapse_grace;
}

}  // namespace toucandock::core::discovery
