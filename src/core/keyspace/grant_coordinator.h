#ifndef TOUCANDOCK_CORE_KEYSPACE_GRANT_COORDINATOR_H_
#define TOUCANDOCK_CORE_KEYSPACE_GRANT_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "core/keyspace/key_samples.h"
#include "core/keyspace/ownership.h"
#include "core/keyspace/range_planner.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::keyspace {

struct CoordinatorOptions {
  // Lease of a grant, on the target's clock. What is left of it between two
  // renewals outlasts a change of the duty: 2 s until the earlier host counts
  // as lost, 0.7 s until its successor asks, and its record.
  Duration grant_lease = std::chrono::milliseconds(3'800);
  // The same while the store is away for most hosts, when nobody can take the
  // duty over: owners keep their keys for as long as targets allow, also when
  // the host with the duty ends meanwhile.
  Duration outage_grant_lease = std::chrono::milliseconds(10'000);
  Duration renew_interval = std::chrono::milliseconds(950);
  // A grant without an answer is repeated after this time.
  Duration grant_timeout = std::chrono::milliseconds(500);
  Duration grant_retry_interval = std::chrono::milliseconds(200);
  // A release is answered when the running work on its keys has ended.
  Duration release_timeout = std::chrono::milliseconds(1'500);
  // Lease of the grant that only raises the fence of an owner that is about to
  // release its keys; outlasts the work that runs there.
  Duration fence_raise_lease = std::chrono::milliseconds(4'000);
  int max_fence_raises = 3;
  // A coordinator acts this long after the store last confirmed its duty. A
  // successor that cannot reach an owner waits this long besides the lease.
  Duration leadership_lease = std::chrono::milliseconds(4'500);
  // While most other hosts say that they have lost the store as well, nobody
  // can take the duty over, and leases are renewed for up to this long.
  Duration outage_leadership_lease = std::chrono::seconds(60);
  // What the other hosts say holds for this long.
  Duration outage_report_lifetime = std::chrono::seconds(1);
  // An outage is noticed within this time by all hosts.
  Duration outage_detection_time = std::chrono::milliseconds(2'500);
  // Keys change hands only this long after the store last confirmed the duty. A
  // successor waits as long before its own first change, so that two processes
  // never carry out different changes at a time.
  Duration move_lease = std::chrono::milliseconds(1'600);
  // A target whose grants fail for this long is replaced as owner.
  Duration unreachable_after = std::chrono::milliseconds(1'200);
  // It is tried again as an owner this long after its last failure.
  Duration unreachable_retry_after = std::chrono::seconds(8);
  // Clocks of targets may run slow by this part.
  double clock_drift = 0.02;
  // Between the record of a move and its first order, so that hosts stop
  // sending to the earlier owner first.
  Duration move_start_delay = std::chrono::milliseconds(60);
  Duration plan_interval = std::chrono::milliseconds(400);
  // Grants that finish within this time share one record.
  Duration record_batch = std::chrono::milliseconds(120);
  // No planned move starts unless the store answered within this time.
  Duration max_store_silence = std::chrono::milliseconds(2'500);
  // First assignment waits this long for targets to be listed.
  Duration first_plan_wait = std::chrono::milliseconds(1'200);
  PlanOptions plan;
  KeySampleOptions samples;
};

// Gives keys to a target, or renews its lease on them.
struct GrantCommand {
  std::uint64_t id = 0;
  TargetInstance target;
  KeyRange keys;
  Fence fence = 0;
  Duration lease{};
  Duration timeout{};
  // From the release by the last owner; empty: none.
  std::string handover;
  // Only over a connection that carried an earlier order. Behind a new one, the
  // target may be another life, which knows no fences.
  bool kept_connection_only = false;
};

struct ReleaseCommand {
  std::uint64_t id = 0;
  TargetInstance target;
  KeyRange keys;
  Fence fence = 0;
  Duration timeout{};
};

// Writes the table if the partition still ends at `at`.
struct AppendCommand {
  OwnershipTable table;
  Offset at = 0;
};

using Action = std::variant<GrantCommand, ReleaseCommand, AppendCommand>;

enum class CommandResult {
  kDone,
  // The target has seen a higher fence on one of the keys.
  kFenced,
  // Another process has the address.
  kWrongTarget,
  // Surely not received.
  kNotSent,
  // May take effect now or later.
  kUnknown,
};

absl::string_view ToString(CommandResult result);

struct CommandResponse {
  std::uint64_t id = 0;
  CommandResult result = CommandResult::kUnknown;
  std::string handover;
};

// A target that the directory lists for the service.
struct OwnerTarget {
  TargetInstance instance;
  std::string address;
  std::uint32_t slots = 1;
  bool draining = false;
  bool cold = false;
};

// Decides who owns the keys of one service and keeps the leases alive. One
// process at a time has this duty; the store's conditional append orders the
// decisions of successive ones. Takes events with their time, returns what is
// to be done.
class GrantCoordinator {
 public:
  GrantCoordinator(std::string service,
                   std::string writer,
                   std::string report_address,
                   const CoordinatorOptions& options);

  // The store has confirmed or withdrawn the duty, as of the call's start.
  void OnLeadership(bool is_leader, TimePoint confirmed_at);
  // A record was read, or the end of the records without any.
  void OnTable(const OwnershipTable& table, TimePoint now);
  void OnEnd(Offset end);
  // The append was refused for a later end, or its outcome is unknown and the
  // records up to the end were read since.
  void OnAppendResolved() { append_pending_ = false; }
  void OnTargets(std::vector<OwnerTarget> targets, TimePoint now);
  void OnCommandResponse(const CommandResponse& answer, TimePoint now);
  void OnLoad(const LoadReport& report, TimePoint now);
  void OnStoreAnswered(TimePoint now) { store_answered_ = now; }
  // Calls of this host to the store fail.
  void OnStoreLost(TimePoint now) { store_lost_at_ = now; }
  // Most other hosts say that they have lost the store.
  void OnOutageReported(TimePoint now) { outage_reported_ = now; }

  std::vector<Action> Tick(TimePoint now);

  // This process acts on the newest record.
  bool IsActive(TimePoint now) const;
  bool is_leader() const { return is_leader_; }
  const std::optional<OwnershipTable>& table() const { return committed_; }

 private:
  // With several possible holders, all of them stop first. Then, one after the
  // other, the fence of each is raised, so that grants still under way come to
  // nothing, and the keys are released.
  enum class ReleaseStage { kQuiesce, kRaiseFence, kRelease, kDone };

  // An earlier owner that has to give up its keys.
  struct PendingRelease {
    TargetInstance target;
    ReleaseStage stage = ReleaseStage::kRaiseFence;
    int raise_count = 0;
    bool fence_raised = false;
    std::uint64_t command_id = 0;
    TimePoint next_try{};
    // The target may hold the keys until then, by any grant.
    TimePoint may_hold_until{};
    // The same without the order under way, in case that is not sent.
    TimePoint held_before_command{};
  };

  struct RangeState {
    Assignment assignment;
    // The owner may hold the keys until then, by any grant.
    TimePoint may_hold_until{};
    TimePoint held_before_command{};
    TimePoint first_command_at{};
    std::vector<PendingRelease> pending_releases;
    std::string handover;
    std::uint64_t command_id = 0;
    TimePoint next_grant{};
    bool granted = false;
  };

  struct Contact {
    // Zero: the last order to the target was answered.
    TimePoint failing_since{};
    TimePoint last_failure{};
    int failures = 0;
    // A grant was answered, and its connection has not been lost since.
    bool connected = false;
    // Since when there is no connection.
    TimePoint unconnected_since{};
    // One grant at a time, so that one connection is enough.
    std::uint64_t grant_in_flight = 0;
  };

  struct PendingCommand {
    KeyRange keys;
    TargetInstance target;
    enum class Kind {
      kGrant,
      kRaiseFence,
      kQuiesce,
      kRelease
    } kind = Kind::kGrant;
    TimePoint sent{};
    Duration lease{};
    bool kept_connection_only = false;
  };

  void Adopt(const OwnershipTable& table, TimePoint now);
  bool CanRenew(TimePoint now) const;
  bool CanMove(TimePoint now) const;
  bool MayGrantTo(const Contact& contact, TimePoint now) const;
  Fence NextFence();
  std::uint64_t NewCommand(PendingCommand pending_command);
  TimePoint EarlierLeaseEnd(const KeyRange& keys,
                            const TargetInstance& target) const;
  Duration WithDrift(Duration lease) const;
  bool IsOutage(TimePoint now) const;
  Duration CurrentGrantLease(TimePoint now) const;
  Duration InheritedGrantLease(TimePoint now) const;
  Contact& ContactOf(const TargetInstance& target);
  RangeState* FindRange(const KeyRange& keys);
  bool HasCertainlyEnded(const TargetInstance& target) const;
  const OwnerTarget* FindTarget(const TargetInstance& target) const;
  bool IsUnreachable(const TargetInstance& target, TimePoint now) const;
  bool MayRaiseFence(const RangeState& range,
                     const PendingRelease& pending_release) const;
  void ReleasePreviousOwners(RangeState& range,
                             TimePoint now,
                             std::vector<Action>& out);
  void GrantRange(RangeState& range, TimePoint now, std::vector<Action>& out);
  void PlanIfDue(TimePoint now, std::vector<Action>& out);
  void Propose(std::vector<Assignment> assignments, std::vector<Action>& out);
  void RecordGrantsIfDue(TimePoint now, std::vector<Action>& out);

  const std::string service_;
  const std::string writer_;
  const std::string report_address_;
  const CoordinatorOptions options_;
  bool is_leader_ = false;
  // The duty was confirmed once, and no successor's record was read since.
  bool may_renew_ = false;
  TimePoint leadership_confirmed_at_{};
  TimePoint successor_seen_at_{};
  TimePoint taken_over_at_{};
  // Until then, an earlier process with the duty may still change owners.
  TimePoint moves_allowed_from_{};
  TimePoint store_answered_{};
  // The last sign of an outage that another host may have noticed, too. Before
  // the first event nothing is known.
  TimePoint store_lost_at_{};
  TimePoint first_event_{};
  TimePoint outage_reported_{};
  // Another process has the address of these.
  std::set<TargetInstance> replaced_targets_;
  std::optional<OwnershipTable> committed_;
  // Where the records end, once read to the end.
  std::optional<Offset> end_;
  bool append_pending_ = false;
  std::uint64_t fence_count_ = 0;
  std::uint64_t command_count_ = 0;
  std::vector<RangeState> ranges_;
  std::vector<OwnerTarget> targets_;
  // Of all lives that were listed.
  std::map<TargetInstance, std::string> addresses_;
  std::map<TargetInstance, Contact> contacts_;
  std::map<std::uint64_t, PendingCommand> commands_;
  KeySamples samples_;
  TimePoint next_plan_{};
  TimePoint first_unrecorded_{};
  TimePoint targets_known_since_{};
};

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_GRANT_COORDINATOR_H_
