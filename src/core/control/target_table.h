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

// The leader's knowledge of all targets: their grants, when those surely end,
// and whether they are lost, draining or cold.
class TargetTable {
 public:
  TargetTable(const HostId& self,
              const lease::LeaseOptions& options,
              const Ballot& ballot,
              TimePoint elected_at);

  void SetTargets(const config::Config& config);
  // Computes each target's units anew from the replica's view.
  void SetUnits(const Replica& replica);

  void OnGrantAnswer(const GrantAnswerEvent& event, TimePoint now);
  void OnProbeAnswer(const ProbeAnswerEvent& event, TimePoint now);
  void OnObservation(const detection::Observation& observation, TimePoint now);
  void OnHostList(const HostListEvent& list, TimePoint now);

  // Updates the verdicts. Returns the targets whose state changed.
  std::vector<TargetId> UpdateLiveness(size_t observers, TimePoint now);
  void SendDue(TimePoint now, Actions& out);

  // Changes whenever one of the answers below may have changed.
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
    // Sequence from which a unit that left the target is revoked. An earlier
    // leader may have granted units that this one's first grant leaves out.
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
    // Of the present run of good answers.
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
