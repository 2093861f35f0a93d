#ifndef TOUCANDOCK_ENTRY_TARGET_SET_H_
#define TOUCANDOCK_ENTRY_TARGET_SET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/admission/waiting_list.h"
#include "core/balance/target_availability.h"
#include "core/balance/target_picker.h"
#include "core/discovery/evacuations.h"
#include "core/keyspace/move_times.h"
#include "core/time.h"
#include "entry/routing_view.h"
#include "entry/target_handle.h"
#include "entry/target_notices.h"

namespace toucandock::entry {

class Exchange;

struct TargetSetOptions {
  // See DispatchOptions.
  double connection_fraction = 0.8;
  core::discovery::EvacuationLimits evacuation;
};

struct TargetSetHooks {
  // Returns a limit on the requests that a target may have at a time, below the
  // usual one, if there is such a limit.
  std::function<std::optional<double>(const TargetHandle&, core::TimePoint)>
      max_requests;
};

// The listed targets, what the traffic thread knows of each, and the choice of
// one of them for a request. Used on the traffic thread only.
class TargetSet {
 public:
  TargetSet(std::string failure_domain,
            TargetNotices& notices,
            const TargetSetOptions& options,
            TargetSetHooks hooks);

  void SetView(std::shared_ptr<const RoutingView> view, core::TimePoint now);

  std::shared_ptr<TargetHandle> Find(
      const core::discovery::TargetInstance& instance) const;
  std::shared_ptr<TargetHandle> FindAt(const std::string& target_id,
                                       const std::string& address) const;
  const std::vector<std::shared_ptr<TargetHandle>>& OfService(
      const std::string& service) const;
  core::balance::Listing ListingOf(
      const core::discovery::TargetInstance& instance) const;

  std::shared_ptr<TargetHandle> ListedOwnerOf(const Exchange& exchange) const;
  core::balance::AvailabilityState StateOf(
      const core::discovery::TargetEntry& target,
      core::TimePoint now) const;
  core::balance::AvailabilityState AvailabilityFor(const Exchange& exchange,
                                                   core::TimePoint now) const;
  // Returns the owner of the request's key, or null if the request must not be
  // sent there now.
  std::shared_ptr<TargetHandle> OwnerOf(const Exchange& exchange,
                                        core::TimePoint now) const;
  // Returns the targets of a service that are open and to which this host may
  // open connections.
  std::vector<std::shared_ptr<TargetHandle>> UsableTargets(
      const std::string& service,
      core::TimePoint now) const;
  // Returns null if none of the targets has room for the request.
  // `typical_time` is the response time of the service.
  std::shared_ptr<TargetHandle> Pick(
      const Exchange& exchange,
      const std::vector<std::shared_ptr<TargetHandle>>& targets,
      core::FloatSeconds typical_time,
      core::TimePoint now);
  bool IsOpen(const core::discovery::TargetEntry& target,
              core::TimePoint now) const;

  // Names the capacity that a request waits for: that of its owner, of the next
  // owner of its key, or of all targets of the service.
  std::string LaneOf(const Exchange& exchange) const;
  static std::string LaneOf(const TargetHandle& owner);
  // Returns when this capacity is free. `work_time` is the time for which a
  // request occupies a slot.
  core::admission::LaneOutlook OutlookOf(const Exchange& exchange,
                                         core::Duration work_time,
                                         core::TimePoint now) const;

 private:
  core::balance::PickCandidate CandidateOf(const TargetHandle& handle,
                                           core::TimePoint now) const;
  int ConnectionShare(const std::string& service) const;
  bool HasConnectionRoom(const TargetHandle& handle) const;
  core::Duration TimeUntilFree(const TargetHandle& handle,
                               core::TimePoint now) const;

  const std::string failure_domain_;
  TargetNotices& notices_;
  const TargetSetOptions options_;
  const TargetSetHooks hooks_;
  const core::balance::PickOptions pick_options_;
  const core::balance::TargetLoadOptions load_options_;
  std::shared_ptr<const RoutingView> view_;
  std::map<core::discovery::TargetInstance, std::shared_ptr<TargetHandle>>
      handles_;
  std::map<std::string, std::vector<std::shared_ptr<TargetHandle>>>
      handles_by_service_;
  // How long keys without a serving owner have waited for one, by service.
  std::map<std::string, core::keyspace::MoveTimes> move_times_;
  std::minstd_rand random_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_TARGET_SET_H_
