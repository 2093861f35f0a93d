#ifndef TOUCANDOCK_CORE_CONTROL_LEADER_H_
#define TOUCANDOCK_CORE_CONTROL_LEADER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/control/load_table.h"
#include "core/control/log_writer.h"
#include "core/control/messages.h"
#include "core/control/replica.h"
#include "core/control/target_table.h"
#include "core/lease/lease.h"
#include "core/placement/hot_keys.h"
#include "core/placement/placement.h"

namespace toucandock::core::control {

// The work of the elected leader: it determines which hosts support it, moves
// units between targets and writes leader records. An instance exists for one
// term of the host as leader.
class Leader {
 public:
  Leader(const HostInfo& self,
         const lease::LeaseOptions& options,
         const ControlHooks& hooks,
         Replica& replica,
         const Ballot& ballot,
         const LeaderState& inherited,
         TimePoint now);

  const Ballot& ballot() const { return ballot_; }
  TimePoint authority_until() const { return authority_until_; }
  bool HasAuthority(TimePoint now) const { return now < authority_until_; }
  // Time until which this host itself may send requests to owners of keys.
  TimePoint own_lease_until() const { return own_lease_until_; }
  bool IsSuperseded() const;
  bool HasLostQuorum(TimePoint now) const;
  bool HasMemberWithoutSupport(TimePoint now) const;
  bool IsLogSlow(TimePoint now) const { return writer_.IsLogSlow(now); }

  RenewReply OnRenew(const RenewRequest& request, TimePoint now);
  void OnOwnAck(std::uint64_t acked_sequence,
                const std::vector<Unit>& busy,
                TimePoint now);
  void OnRates(const HostId& host,
               const std::map<std::string, placement::ServiceRates>& rates,
               TimePoint now);
  void OnLogRead(const LogReadEvent& read, TimePoint now, Actions& out);
  void OnLogFailed() { writer_.OnLogFailed(); }
  void OnAppendResult(const AppendResultEvent& result, TimePoint now);
  void OnGrantAnswer(const GrantAnswerEvent& event, TimePoint now);
  void OnProbeAnswer(const ProbeAnswerEvent& event, TimePoint now);
  void OnObservation(const detection::Observation& observation, TimePoint now);
  void OnHostList(const HostListEvent& list, TimePoint now);

  void Step(TimePoint now, Actions& out);

 private:
  // A host that may hold a serving lease from this leader or an earlier one.
  struct Holder {
    HostInfo host;
    TimePoint lease_ends;
    // Time until which the host supports this leader.
    TimePoint supports_until;
    // Time of the last renewal; for a member that has not renewed yet, the time
    // at which this leader first saw it.
    TimePoint last_renewal_at;
    // Start of the current series of renewals without interruption.
    TimePoint renewing_since;
    std::uint64_t acked_sequence = 0;
    std::vector<Unit> busy;
    bool leaving = false;
  };

  void RaiseFences();
  void InheritMoves(TimePoint now);
  void AdoptEarlyAssignments(TimePoint now);
  void NoteNewMembers(TimePoint now);
  void UpdateAuthority(TimePoint now);
  void AdvanceCommitOffset(TimePoint now);
  void Reevaluate(TimePoint now, Actions& out);
  void UpdateTargetLiveness(TimePoint now, Actions& out);
  void UpdateHostLiveness(TimePoint now, Actions& out);
  bool IsUnavailable(const HostId& id, TimePoint now) const;
  void PlaceServices(TimePoint now, Actions& out);
  void PlaceService(const config::ServiceConfig& service,
                    TimePoint now,
                    Actions& out);
  void PlaceShards(const config::ServiceConfig& service,
                   const std::vector<placement::Candidate>& candidates,
                   bool balance,
                   Actions& out,
                   TimePoint now);
  void AddLoads(const config::ServiceConfig& service,
                placement::PlacementInput& input) const;
  void PlaceHotKeys(const config::ServiceConfig& service,
                    const std::vector<placement::Candidate>& candidates,
                    bool balance,
                    Actions& out,
                    TimePoint now);
  void ChangeHotKey(const config::ServiceConfig& service,
                    const placement::HotKeyChange& change,
                    TimePoint now,
                    Actions& out);
  std::map<std::uint64_t, TargetId> PlacedHotKeys(
      const std::string& service) const;
  bool IsMoving(const Unit& unit) const;
  UnitMove& StartMove(const Unit& unit,
                      const TargetId& to,
                      TimePoint now,
                      Actions& out);
  void ProgressMoves(TimePoint now, Actions& out);
  bool ProgressMove(UnitMove& move, TimePoint now);
  bool IsBlockingMoves(const Holder& holder, TimePoint now) const;
  void RemoveExpiredHolders(TimePoint now);
  std::uint32_t PlannedMoves(const std::string& service) const;
  bool IsRevokedEverywhere(const UnitMove& move, TimePoint now) const;
  bool IsDurable(const UnitMove& move, TimePoint now) const;
  bool IsMoveRecorded(const UnitMove& move) const;
  void DropFinishedMoves();
  void PublishLeaderState(TimePoint now, Actions& out);
  size_t VotersWhoAcked(std::uint64_t sequence) const;
  size_t Observers(TimePoint now) const;

  void WriteNextRecord(TimePoint now, Actions& out);
  std::optional<RecordBody> NextRecord(TimePoint now);
  std::optional<RecordBody> NextAssignmentRecord() const;
  std::optional<RecordBody> NextPublishResult() const;
  std::optional<RecordBody> NextVoterChange(TimePoint now) const;
  bool IsCheckpointDue(TimePoint now) const;

  const HostInfo self_;
  const lease::LeaseOptions options_;
  const ControlHooks& hooks_;
  Replica& replica_;
  const Ballot ballot_;
  const TimePoint elected_at_;
  // The leader has no authority before this time: leases of an unknown earlier
  // leader may still be valid.
  TimePoint authority_from_;
  TimePoint authority_until_;
  TimePoint own_lease_until_;
  // Until this time, any host may still send under a lease of an earlier
  // leader.
  TimePoint earlier_leases_end_;
  // A renewal contained a higher ballot of this membership.
  bool saw_higher_ballot_ = false;
  Fence next_fence_ = 1;
  LeaderState leader_state_;
  bool changed_ = true;
  std::map<Unit, TimePoint> move_started_;
  // Targets to which an earlier leader may already have granted a unit that was
  // moving there.
  std::map<Unit, std::set<TargetId>> possible_earlier_owners_;
  std::map<HostId, Holder> holders_;
  std::set<HostId> members_;
  TargetTable targets_;
  LoadTable loads_;
  TimePoint reevaluate_at_;
  // Revision of the targets and sequence of the leader state at the last
  // placement of all services.
  std::uint64_t placed_revision_ = 0;
  std::uint64_t placed_sequence_ = 0;
  TimePoint place_at_;
  // Next time at which planned moves are considered for a service.
  std::map<std::string, TimePoint> balance_at_;
  std::uint64_t targets_version_ = 0;
  LogWriter writer_;
  // Sequence of the leader state that made the last change of voters effective.
  std::uint64_t voters_sequence_ = 0;
  Offset voters_changed_ = 0;
  // Log position of the last checkpoint that this leader wrote, and the time at
  // which it wrote it.
  Offset checkpoint_at_ = 0;
  TimePoint checkpoint_written_at_;
  Offset first_retained_ = 0;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_LEADER_H_
