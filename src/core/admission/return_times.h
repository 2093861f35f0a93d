#ifndef TOUCANDOCK_CORE_ADMISSION_RETURN_TIMES_H_
#define TOUCANDOCK_CORE_ADMISSION_RETURN_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "core/time.h"

namespace toucandock::core::admission {

// Spreads the callers that are told to come back over the capacity that will be
// free.
class ReturnSchedule {
 public:
  struct Slot {
    Duration retry_after{};
    // There will be capacity at that time.
    bool is_reserved = false;
  };

  // Returns the time after which a caller is to come back: not before
  // `earliest`, one `interval` after the previous caller, and within `limit`.
  Slot Next(Duration earliest,
            Duration interval,
            Duration limit,
            TimePoint now);

 private:
  TimePoint last_{};
  // Part of the range in which callers return that are beyond the limit.
  double fraction_ = 0;
};

struct ToldReturnOptions {
  // A caller that comes back later than this after the time it was told counts
  // as a new one.
  Duration lifetime = std::chrono::seconds(3);
  // A request may arrive by this much too early, because Retry-After is rounded
  // to milliseconds.
  Duration tolerance = std::chrono::milliseconds(5);
  size_t max_entries = 16'384;
};

// In the order of precedence: callers gain nothing from coming back earlier
// than they were told.
enum class Return { kAsTold, kNew, kEarly };

absl::string_view ToString(Return returned);

struct ReturnedRequest {
  Return state = Return::kNew;
  // There is to be capacity at the time that the caller was told.
  bool is_reserved = false;
  // Zero if the request is new.
  TimePoint told_at{};
  // Of the first attempt, unless the request is new.
  TimePoint goal_by{};
};

// The times at which refused callers were told to come back, by the fingerprint
// of caller and request. The oldest ones are dropped first.
class ToldReturns {
 public:
  explicit ToldReturns(const ToldReturnOptions& options) : options_(options) {}

  void Add(const std::string& fingerprint,
           const ReturnSchedule::Slot& slot,
           TimePoint goal_by,
           TimePoint now);
  // Says whether the request comes back as told. Each time that was told counts
  // once.
  ReturnedRequest Take(const std::string& fingerprint, TimePoint now);

  size_t size() const { return told_.size(); }

 private:
  void Expire(TimePoint now);
  void DropOldest();

  struct Told {
    TimePoint at{};
    bool is_reserved = false;
    TimePoint goal_by{};
  };

  const ToldReturnOptions options_;
  absl::flat_hash_map<std::string, Told> told_;
  // In the order in which callers were told.
  std::deque<std::pair<TimePoint, std::string>> order_;
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_RETURN_TIMES_H_
