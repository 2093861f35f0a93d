#include "core/admission/ranked_requests.h"

#include <tuple>

namespace toucandock::core::admission {

bool IsMoreUrgent(const WaitRank& a, const WaitRank& b) {
  return std::tie(a.priority, a.is_late, a.returned) <
         std::tie(b.priority, b.is_late, b.returned);
}

void RankedRequests::Insert(const WaitRank& rank, const std::string& caller) {
  ranks_.insert(rank);
  if (rank.is_late) {
    return;
  }
  ++on_time_;
  std::set<WaitRank>& own = callers_[caller];
  own.insert(rank);
  CountCaller(caller, own.size() - 1, own.size());
}

void RankedRequests::Erase(const WaitRank& rank, const std::string& caller) {
  const bool is_known = ranks_.erase(rank);
  const auto own = callers_.find(caller);
  if (!is_known || rank.is_late || own == callers_.end()) {
    return;
  }
  --on_time_;
  own->second.erase(rank);
  const size_t left = own->second.size();
  if (left == 0) {
    callers_.erase(own);
  }
  CountCaller(caller, left + 1, left);
}

size_t RankedRequests::CountBefore(const WaitRank& rank) const {
  return ranks_.order_of_key(rank);
}

size_t RankedRequests::CountOf(const std::string& caller) const {
  const auto own = callers_.find(caller);
  return own == callers_.end() ? 0 : own->second.size();
}

const WaitRank& RankedRequests::LastOfLargestCaller() const {
  return *callers_.at(callers_by_count_.rbegin()->second).rbegin();
}

size_t RankedRequests::LargestCount() const {
  return callers_by_count_.empty() ? 0 : callers_by_count_.rbegin()->first;
}

void RankedRequests::CountCaller(const std::string& caller,
                                 size_t before,
                                 size_t after) {
  callers_by_count_.erase({before, caller});
  if (after > 0) {
    callers_by_count_.emplace(after, caller);
  }
}

}  // namespace toucandock::core::admission
