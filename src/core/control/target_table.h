#ifndef TOUCANDOCK_CORE_CONTROL_TARGET_TABLE_H_
#define TOUCANDOCK_CORE_CONTROL_TARGET_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/config/config.h"
#include "core/control/messages.h"
#include "core/control/replica.h"
#include "core/detection/loss_detector.h"
#include "core/lease/lease.h"

namespace toucandock::core::control {

// What the leader knows about all targets: their grants, the time by which
// these have certainly ended, and whether the targets are lost, draining or
// cold.
class TargetTable {
 public:
  TargetTable(const HostId& self,
              const lease::LeaseOptions& options,
              const Ballot& ballot,
              TimePoint elected_at);

  void SetTargets(const config::Config& config);
  // Recomputes the units of each target from the replica.
  void SetUnits(const Replica& replica);

  void OnGrantAnswer(const GrantAnswerEvent& event, TimePoint now);
  void OnProbeAnswer(const ProbeAnswerEvent& event, TimePoint now);
  void OnObservation(const detection::Observation& observation, TimePoint now);
  void OnHostList(const HostListEvent& list, TimePoint now);

  // Evaluates the observations. Returns the targets that became lost or
  // recovered.
  std::vector<TargetId> UpdateLiveness(size_t observers, TimePoint now);
  void SendDue(TimePoint now, Actions& out);

  // Changes whenever the result of one of the functions below may have changed.
  std::uint64_t revision() const { return revision_; }
  bool WasContacted(const TargetId& target) const;
  bool MayOwn(const TargetId& target) const;
  bool IsUsable(const TargetId& target) const;
  bool IsReleased(const TargetId& target, TimePoint now) const;
  bool IsGranted(const TargetId& target, const UnitFence& unit) const;
  double WeightOf(const TargetId& target, TimePoint now) const;
  std::vector<TargetId> Suspects(size_t observers, TimePoint now) const;

  std::set<TargetId> lost() const;
  std::set<TargetId> draining() const;
  std::set<TargetId> cold(TimePoint now) const;

 private:
  struct Entry {
    std::string address;
    bool checks_fences = false;
    bool configured = true;

    std::vector<UnitFence> units;
    std::uint64_t sequence = 1;
    std::uint64_t acked_sequence = 0;
    // Sequence of the first grant without the units that were last taken from
    // the target. It is 1 at first, since an earlier leader may have granted
    // units that the first grant of this leader does not contain.
    std::uint64_t revoked_sequence = 1;
    // Last reading of the target's clock and when it arrived.
    std::optional<Duration> clock;
    TimePoint clock_read_at;
    TimePoint grant_ends;
    std::string instance;

    bool contacted = false;
    bool in_flight = false;
    TimePoint sent_at;
    TimePoint answered_at;
    bool lost = false;
    // Start of the current series of successful responses.
    std::optional<TimePoint> alive_since;
    std::optional<TimePoint> warming_since;
    TargetHealth health = TargetHealth::kServing;
    bool listed_leaving = false;
    bool listed = false;
  };

  void OnAnswer(Entry& entry, const TargetAnswer& answer, TimePoint now);
  void SendGrant(const TargetId& id, Entry& entry, TimePoint now, Actions& out);

  const HostId self_;
  const lease::LeaseOptions options_;
  const Ballot ballot_;
  const TimePoint elected_at_;
  detection::LossDetector detector_;
  std::map<TargetId, Entry> entries_;
  std::uint64_t revision_ = 0;
  // Earliest time at which a target is to be contacted.
  TimePoint next_due_;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_TARGET_TABLE_H_
