#ifndef TOUCANDOCK_CORE_WARMUP_PERMIT_ISSUER_H_
#define TOUCANDOCK_CORE_WARMUP_PERMIT_ISSUER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/discovery/target_directory.h"
#include "core/time.h"
#include "core/warmup/cold_bound.h"
#include "core/warmup/permit.h"

namespace toucandock::core::warmup {

struct IssuerOptions {
  // Permits are issued for this long after the store last confirmed the leader,
  // as long as owners of keys may change (CoordinatorOptions::move_lease).
  Duration leadership_lease = std::chrono::milliseconds(1'600);
  // Time from taking over to the first permit: 2.1 s in which an earlier leader
  // may still issue permits or its answers may be in transit, the second over
  // which requests are counted, and the lifetime of a permit.
  Duration takeover_wait = std::chrono::milliseconds(2'100) +
                           std::chrono::seconds(1) + kPermitLifetime;
  // Requests that arrive within one second were permitted within this time.
  Duration counting_window = std::chrono::milliseconds(1'200);
  // A host that has not repeated its question for this long no longer waits.
  Duration waiting_lifetime = std::chrono::milliseconds(300);
  // Upper limit of the times in answers.
  Duration max_due = std::chrono::minutes(1);
};

// Rate and burst of a token bucket.
struct BucketLimit {
  double permits_per_second = 0;
  double burst = 0;
};

// Returns the limit with which at most `requests_per_second` * overage +
// tolerance requests are permitted within `window`. Where the overage is too
// small for the full burst, the burst is reduced, down to one request, and then
// the rate. Odd rates give a limit of zero.
BucketLimit LimitFor(double requests_per_second,
                     const ColdBound& bound,
                     Duration window);

// Issues permits on the leader: a token bucket for each target. Nothing is
// stored, since permits expire.
class PermitIssuer {
 public:
  PermitIssuer(const ColdBound& bound, const IssuerOptions& options)
      : bound_(bound), options_(options) {}

  // The store has confirmed or withdrawn the leadership of this host.
  // `confirmed_at` is the time at which the call to the store was started. A
  // confirmation that arrives after the lease has ended counts as a new
  // takeover, since another host may have been the leader in between.
  void OnLeadership(bool is_leader, TimePoint confirmed_at, TimePoint now);
  // Sets the rates, in requests a second, of all targets of services with a
  // limit.
  void SetRates(std::map<discovery::TargetInstance, double> rates,
                TimePoint now);
  // Whether permits are issued now.
  bool IsIssuing(TimePoint now) const;
  // Answers a question of the host `asker`. Returns nothing on a host that is
  // not the leader.
  std::optional<PermitAnswer> Issue(const PermitQuestion& question,
                                    const std::string& asker,
                                    TimePoint now);

 private:
  // Belongs to an id rather than to an instance: after a restart, hosts that
  // know only the earlier instance still send to the same address.
  struct Bucket {
    BucketLimit limit;
    double tokens = 0;
    TimePoint filled_at{};
    // Permits that hosts wanted and did not get.
    struct Unmet {
      std::uint32_t permits = 0;
      TimePoint asked_at{};
    };
    std::map<std::string, Unmet> unmet;
  };

  void Refill(Bucket& bucket, const BucketLimit& limit, TimePoint now) const;
  double CountUnmetOfOthers(Bucket& bucket,
                            const std::string& asker,
                            TimePoint now) const;

  const ColdBound bound_;
  const IssuerOptions options_;
  bool is_leader_ = false;
  TimePoint confirmed_at_{};
  TimePoint taken_over_at_{};
  std::map<discovery::TargetInstance, double> rates_;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace toucandock::core::warmup

#endif  // TOUCANDOCK_CORE_WARMUP_PERMIT_ISSUER_H_
