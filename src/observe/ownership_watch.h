#ifndef TOUCANDOCK_OBSERVE_OWNERSHIP_WATCH_H_
#define TOUCANDOCK_OBSERVE_OWNERSHIP_WATCH_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/control/replica.h"
#include "core/time.h"

namespace toucandock::observe {

// Receive what OwnershipWatch observes.
struct OwnershipHooks {
  // A decision of the leader; called on all other hosts only.
  std::function<void(const std::string& what, const std::string& cause)>
      decided;
  // Called on the leader only, so that all hosts together count each change
  // once.
  std::function<void(const std::string& service)> owner_changed;
  // Time during which units of the service had no owner, summed over the units.
  std::function<void(const std::string& service, core::Duration)> without_owner;
  // Time during which this host had no serving lease.
  std::function<void(core::Duration)> without_lease;
};

// Derives the leader's decisions and the unavailable time from this host's copy
// of the control state, so that hosts that are not the leader can explain them
// as well.
class OwnershipWatch {
 public:
  explicit OwnershipWatch(OwnershipHooks hooks);

  void Observe(const core::control::Replica& replica, bool is_leader);
  void Advance(core::TimePoint now, bool has_lease);

 private:
  struct UnitView {
    core::TargetId owner;
    core::Fence fence = 0;
    // The unit is between two owners.
    bool moving = false;
    // Cause of the move. It is kept because this host may miss the leader state
    // that lists the move as active.
    std::string cause;
  };

  void ObserveUnit(const core::control::Replica& replica,
                   const core::Unit& unit,
                   bool is_leader);
  void ObserveTargets(const core::control::LeaderState& leader_state);
  void CountWithoutOwner(const core::control::Replica& replica);

  const OwnershipHooks hooks_;
  // A configuration was in force at the previous call of Observe().
  bool started_ = false;
  std::map<core::Unit, UnitView> units_;
  std::set<core::TargetId> lost_;
  std::set<core::TargetId> draining_;
  core::control::Ballot ballot_;
  std::map<std::string, size_t> without_owner_;
  std::optional<core::TimePoint> advanced_to_;
};

}  // namespace toucandock::observe

#endif  // TOUCANDOCK_OBSERVE_OWNERSHIP_WATCH_H_
