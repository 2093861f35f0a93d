#ifndef TOUCANDOCK_CORE_ADMISSION_RANKED_REQUESTS_H_
#define TOUCANDOCK_CORE_ADMISSION_RANKED_REQUESTS_H_

#include <compare>
#include <cstddef>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/admission/return_times.h"
#include "core/admission/ticket.h"
#include "core/time.h"

namespace toucandock::core::admission {

// The place of a request among waiting ones; the least value goes first.
struct WaitRank {
  // Of the route; 0 is the most urgent.
  int priority = 0;
  // The request can no longer meet the latency goal of its route.
  bool is_late = false;
  Return returned = Return::kNew;
  TimePoint answer_by{};
  Ticket ticket = 0;

  auto operator<=>(const WaitRank&) const = default;
};

// Returns whether `a` is more urgent than `b` by more than its deadline.
bool IsMoreUrgent(const WaitRank& a, const WaitRank& b);

// Waiting requests by rank and by caller. All operations take O(log n) time.
class RankedRequests {
 public:
  void Insert(const WaitRank& rank, const std::string& caller);
  void Erase(const WaitRank& rank, const std::string& caller);

  size_t size() const { return ranks_.size(); }
  // Number of requests that are not late.
  size_t on_time() const { return on_time_; }
  size_t CountBefore(const WaitRank& rank) const;
  // The following count requests that are not late, since late ones take no
  // room from others.
  size_t CountOf(const std::string& caller) const;
  // The n-th request, from 0. There must be one.
  const WaitRank& At(size_t n) const { return *ranks_.find_by_order(n); }
  // The last request of the caller that has the most. There must be one.
  const WaitRank& LastOfLargestCaller() const;
  size_t LargestCount() const;

 private:
  using Ranks = __gnu_pbds::tree<WaitRank,
                                 __gnu_pbds::null_type,
                                 std::less<WaitRank>,
                                 __gnu_pbds::rb_tree_tag,
                                 __gnu_pbds::tree_order_statistics_node_update>;

  void CountCaller(const std::string& caller, size_t before, size_t after);

  // A tree that also returns the n-th element and the position of an element.
  Ranks ranks_;
  std::map<std::string, std::set<WaitRank>> callers_;
  std::set<std::pair<size_t, std::string>> callers_by_count_;
  size_t on_time_ = 0;
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_RANKED_REQUESTS_H_
