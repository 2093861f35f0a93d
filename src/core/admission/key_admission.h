#ifndef TOUCANDOCK_CORE_ADMISSION_KEY_ADMISSION_H_
#define TOUCANDOCK_CORE_ADMISSION_KEY_ADMISSION_H_

#include <cstdint>
#include <map>
#include <utility>

#include "core/keyspace/admitted_fractions.h"
#include "core/time.h"

namespace toucandock::core::admission {

struct KeyAdmissionOptions {
  // Credit that is kept for each more urgent rank, in requests.
  double reserve = 0.5;
  // A range keeps at most this credit while nothing uses it.
  double max_credit = 4.0;
  // A rank without requests for this long needs no reserve.
  Duration rank_lifetime = std::chrono::seconds(2);
  // Callers that honour Retry-After wait for at most a third of their time. The
  // difference covers the way of the response.
  double max_fraction_of_time_left = 0.32;
  Duration min_retry_after = std::chrono::milliseconds(100);
};

struct KeyedArrival {
  std::uint32_t key = 0;
  // 0 is the most urgent.
  int priority = 0;
  // The caller was refused before and has returned at the time it was told.
  bool has_returned = false;
  // Time until the caller's deadline.
  Duration time_left{};
};

struct AdmissionDecision {
  bool is_admitted = true;
  // The key is in a listed range.
  bool is_limited = false;
  // If not admitted.
  Duration retry_after{};
};

// Admits the fraction of the requests of one keyed service that the leader has
// computed for their keys.
class KeyAdmission {
 public:
  // `seed` differs between hosts, so that not all of them admit the first
  // request of a range, or none of them does.
  KeyAdmission(const KeyAdmissionOptions& options, std::uint64_t seed)
      : options_(options), seed_(seed) {}

  void SetRanges(const keyspace::AdmittedRanges& ranges, TimePoint valid_until);
  AdmissionDecision Decide(const KeyedArrival& arrival, TimePoint now);
  bool IsLimited(std::uint32_t key, TimePoint now) const;
  size_t LimitedRanges(TimePoint now) const;

 private:
  // Priority, and 0 for callers that returned or 1 for others.
  using Rank = std::pair<int, int>;

  struct Range {
    keyspace::KeyRange keys;
    double fraction = 1.0;
    // Number of requests that may be admitted.
    double credit = 0;
    // The last request of each rank.
    std::map<Rank, TimePoint> ranks;
    std::uint32_t refused = 0;
  };

  const Range* Find(std::uint32_t key) const;
  double InitialCredit(const keyspace::KeyRange& keys) const;
  Duration RetryAfter(Range& range, Duration time_left) const;

  const KeyAdmissionOptions options_;
  const std::uint64_t seed_;
  // By first key.
  std::map<std::uint32_t, Range> ranges_;
  TimePoint valid_until_{};
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_KEY_ADMISSION_H_
