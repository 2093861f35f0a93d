#ifndef TOUCANDOCK_ENTRY_TARGET_SET_H_
#define TOUCANDOCK_ENTRY_TARGET_SET_H_

#include <map>
#include <memory>
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

// The listed targets, what the traffic thread knows of each, and the choice of
// one of them for a request. Used on the traffic thread only.
class TargetSet {
 public:
  TargetSet(std::string failure_domain,
            TargetNotices& notices,
            const TargetSetOptions& options);

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
  // Returns null if no target may receive the request now. `typical_time` is
  // the response time of the service.
  std::shared_ptr<TargetHandle> ChooseTarget(const Exchange& exchange,
                                             core::FloatSeconds typical_time,
                                             core::TimePoint now);

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
  std::shared_ptr<TargetHandle> OwnerOf(const Exchange& exchange,
                                        core::TimePoint now) const;
  bool IsOpen(const core::discovery::TargetEntry& target,
              core::TimePoint now) const;
  int ConnectionShare(const std::string& service) const;
  bool HasConnectionRoom(const TargetHandle& handle) const;
  core::Duration TimeUntilFree(const TargetHandle& handle,
                               core::TimePoint now) const;

  const std::string failure_domain_;
  TargetNotices& notices_;
  const TargetSetOptions options_;
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
