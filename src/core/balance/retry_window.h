#ifndef TOUCANDOCK_CORE_BALANCE_RETRY_WINDOW_H_
#define TOUCANDOCK_CORE_BALANCE_RETRY_WINDOW_H_

#include <cstdint>
#include <deque>

#include "core/time.h"

namespace toucandock::core::balance {

struct RetryWindowOptions {
  // Limit for the whole fleet: the number of repeated sends within `window` may
  // be at most `ratio` times the number of requests in it, plus `slack`.
  double ratio = 0.2;
  double slack = 64;
  Duration window = std::chrono::seconds(10);
  // Fraction of the allowance that is used, so that differences in counting
  // between hosts and targets do not make the fleet exceed the limit.
  double used_fraction = 0.7;

  bool operator==(const RetryWindowOptions&) const = default;
};

// One host's share of the limit on repeated sends that applies to the whole
// fleet. Each host uses the ratio of its own requests and an equal part of the
// slack.
class RetryWindow {
 public:
  explicit RetryWindow(const RetryWindowOptions& options) : options_(options) {}

  void OnRequest(TimePoint now);
  bool TryRetry(int live_hosts, TimePoint now);
  void SetOptions(const RetryWindowOptions& options) { options_ = options; }

 private:
  void Expire(TimePoint now);

  RetryWindowOptions options_;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace toucandock::core::balance

#endif  // TOUCANDOCK_CORE_BALANCE_RETRY_WINDOW_H_
