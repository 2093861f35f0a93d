#ifndef TOUCANDOCK_ENTRY_TARGET_NOTICES_H_
#define TOUCANDOCK_ENTRY_TARGET_NOTICES_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "core/balance/target_availability.h"
#include "core/discovery/target_directory.h"
#include "core/time.h"
#include "entry/entry_metrics.h"
#include "entry/target_connection.h"

namespace toucandock::entry {

// Applies what targets declare in the heads of their responses to
// core::balance::TargetAvailability, and logs and counts it. Used on the
// traffic thread only.
class TargetNotices {
 public:
  TargetNotices(boost::asio::io_context& io, EntryMetrics& metrics);

  // Applies a notice that `target` has sent.
  void Apply(const core::discovery::TargetEntry& target,
             const TargetNotice& notice,
             core::TimePoint now);
  // Counts a notice that has no effect or only a limited one, and logs it if it
  // is the first of its kind from this instance.
  void ReportUnusual(const core::discovery::TargetEntry& target,
                     const TargetNotice& notice,
                     const char* reason,
                     const std::string& value);
  void OnSent(const core::discovery::TargetInstance& target,
              core::TimePoint now) {
    targets_.OnSent(target, now);
  }
  void OnListChanged(const std::function<core::balance::Listing(
                         const core::discovery::TargetInstance&)>& listing,
                     core::TimePoint now) {
    targets_.OnListChanged(listing, now);
  }

  core::balance::AvailabilityState StateOf(
      const core::discovery::TargetInstance& target,
      core::TimePoint now) const {
    return targets_.StateOf(target, now);
  }
  // Whether the target may receive a new request now.
  bool IsOpen(const core::discovery::TargetInstance& target,
              core::TimePoint now) const {
    return targets_.StateOf(target, now).availability ==
           core::balance::Availability::kOpen;
  }
  // Whether the target has declared that it leaves or that it wants no requests
  // now.
  bool IsUnavailable(const core::discovery::TargetInstance& target,
                     core::TimePoint now) const;
  bool IsLeaving(const core::discovery::TargetInstance& target) const;

 private:
  void ApplyLeaving(const core::discovery::TargetEntry& target,
                    const TargetNotice& notice,
                    core::TimePoint now);
  void ApplyPause(const core::discovery::TargetEntry& target,
                  const TargetNotice& notice,
                  core::TimePoint now);
  void ArmPauseTimer();

  EntryMetrics& metrics_;
  core::balance::TargetAvailability targets_;
  boost::asio::steady_timer pause_timer_;
  // Instances and reasons that were logged, so that a faulty target does not
  // use up the log.
  std::set<std::pair<core::discovery::TargetInstance, std::string>> logged_;
  std::minstd_rand random_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_TARGET_NOTICES_H_
