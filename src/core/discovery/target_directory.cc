#include "core/discovery/target_directory.h"

#include <algorithm>

namespace toucandock::core::discovery {

// Returns whether the set of usable targets changed.
bool TargetDirectory::Apply(const TargetEntry& entry, TimePoint now) {
  LastSeen& seen = last_seen_[entry.instance.id];
  const bool newer_instance = entry.instance.start_time_ms > seen.start_time_ms;
  if (entry.instance.start_time_ms < seen.start_time_ms ||
      (!newer_instance && entry.sequence < seen.sequence)) {
    return false;
  }
  // A target that was draining does not become usable again within the same
  // instance.
  const bool draining = entry.draining || (!newer_instance && seen.draining);
  seen = {.start_time_ms = entry.instance.start_time_ms,
          .sequence = entry.sequence,
          .draining = draining};
  expired_.erase(entry.instance.id);
  ListedTarget listed{.entry = entry, .warm_at = now + entry.warm_up_left};
  listed.entry.draining = draining;
  const auto it = targets_.find(entry.instance.id);
  const bool changed =
      it == targets_.end() || !(it->second.entry == listed.entry);
  if (!changed) {
    // The same entry was read again; its time left began with the first read.
    listed.warm_at = it->second.warm_at;
  }
  targets_.insert_or_assign(entry.instance.id, std::move(listed));
  return changed;
}

bool TargetDirectory::Remove(const std::string& id, TimePoint now) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) {
    return false;
  }
  // Draining targets are removed immediately. The entries of other targets may
  // have expired only because the store was unavailable.
  if (InExpiryGrace(now) && !it->second.entry.draining) {
    std::optional<TimePoint> end;
    if (IsConfirmedByPeer(now)) {
      end = confirmed_since_ + options_.expiry_grace;
    } else if (!store_lost_) {
      end = recovered_at_ + options_.expiry_grace;
    }
    expired_.emplace(id, end);
    return false;
  }
  targets_.erase(it);
  return true;
}

// Applies a complete listing of the store: targets that are missing there were
// removed.
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

void TargetDirectory::OnStoreRecovered(TimePoint now) {
  if (store_lost_) {
    store_lost_ = false;
    recovered_at_ = now;
    for (auto& [id, end] : expired_) {
      if (!end) {
        end = now + options_.expiry_grace;
      }
    }
  }
}

void TargetDirectory::OnStoreUpReported(TimePoint since) {
  if (!store_lost_) {
    recovered_at_ = std::max(recovered_at_, since);
  }
}

void TargetDirectory::OnStoreConfirmedByPeer(TimePoint since, TimePoint now) {
  confirmed_since_ = since;
  confirmed_until_ = now + options_.peer_confirmation_lifetime;
  for (auto& [id, end] : expired_) {
    end =
        std::min(end.value_or(TimePoint::max()), since + options_.expiry_grace);
  }
}

// Returns whether targets were removed.
bool TargetDirectory::Tick(TimePoint now) {
  const bool may_miss_entries =
      store_lost_ || now < recovered_at_ + options_.catch_up_time;
  if (expired_.empty() || (may_miss_entries && !IsConfirmedByPeer(now))) {
    return false;
  }
  return std::erase_if(expired_, [this, now](const auto& it) {
           const bool over = it.second && now >= *it.second;
           if (over) {
             targets_.erase(it.first);
           }
           return over;
         }) > 0;
}

bool TargetDirectory::IsConfirmedByPeer(TimePoint now) const {
  return now < confirmed_until_;
}

bool TargetDirectory::InExpiryGrace(TimePoint now) const {
  if (IsConfirmedByPeer(now)) {
    return now < confirmed_since_ + options_.expiry_grace;
  }
  return store_lost_ || now < recovered_at_ + options_.expiry_grace;
}

}  // namespace toucandock::core::discovery
