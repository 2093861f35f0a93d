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
#include "core/keyspace/outage_evidence.h"
#include "core/keyspace/ownership.h"
#include "core/keyspace/range_planner.h"
#include "core/position.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::keyspace {

struct CoordinatorOptions {
  // Lease length of a grant, measured by the target's clock. The time that is
  // left between two renewals is longer than a change of leader, which takes
  // 2 s until the previous leader counts as lost, 0.7 s until its successor
  // asks the store, and the time to write the successor's record.
  Duration grant_lease = std::chrono::milliseconds(3'800);
  // Lease length of a grant while most hosts cannot reach the store, so that no
  // other host can become the leader. Owners then keep their keys for as long
  // as targets allow, even if the leader terminates during the outage.
  Duration outage_grant_lease = std::chrono::milliseconds(10'000);
  // A lease is renewed this long after its last successful grant was sent.
  Duration renew_interval = std::chrono::milliseconds(950);
  // A grant that receives no response within this time counts as failed and is
  // repeated.
  Duration grant_timeout = std::chrono::milliseconds(500);
  // Delay before a failed command to a target is repeated.
  Duration grant_retry_interval = std::chrono::milliseconds(200);
  // A release that receives no response within this time counts as failed. A
  // target responds when its running requests for the released keys have ended.
  Duration release_timeout = std::chrono::milliseconds(1'500);
  // Lease length of the grant that only raises the fence at an owner that is
  // about to release its keys. It is longer than the requests that run there
  // take.
  Duration fence_raise_lease = std::chrono::milliseconds(4'000);
  // After this many failed attempts to raise the fence, the owner has to
  // release its keys without it.
  int max_fence_raises = 3;
  // A coordinator acts as the leader for this long after the store last
  // confirmed it. A successor that cannot reach an owner waits for this time in
  // addition to the lease.
  Duration leadership_lease = std::chrono::milliseconds(4'500);
  // While most other hosts report that they have lost the store as well, leases
  // are renewed for up to this long after the last confirmation. A successor
  // that cannot rule out such reports waits for this time (decision 0011).
  Duration outage_leadership_lease = std::chrono::seconds(60);
  OutageOptions outage;
  // The list of hosts in the record is renewed when another one has been heard
  // from or not for this long. Shorter losses cost no call to the store.
  Duration host_list_delay = std::chrono::seconds(2);
  // Owners change only for this long after the store last confirmed the leader.
  // A successor waits for the same time before its own first change, so that
  // two processes never carry out different changes at the same time.
  Duration move_lease = std::chrono::milliseconds(1'600);
  // After the store has come back from a copy, a leader that goes on with its
  // table waits this long for owners to confirm, with fences of the earlier
  // era, that no successor has moved their keys. Covers two renewals.
  Duration recheck_limit = std::chrono::milliseconds(2'000);
  // A target whose grants have failed for this long is replaced as an owner.
  Duration unreachable_after = std::chrono::milliseconds(1'200);
  // A replaced target may become an owner again this long after its last
  // failure.
  Duration unreachable_retry_after = std::chrono::seconds(8);
  // The clocks of targets may run slow by this fraction.
  double clock_drift = 0.02;
  // Delay between the record of a move and its first command, so that hosts
  // first stop sending requests to the previous owner, which would refuse them.
  // Announced records reach the hosts within 20 ms; fences do not need the
  // delay.
  Duration move_start_delay = std::chrono::milliseconds(30);
  // Interval between two attempts to plan moves. A change of the listed targets
  // makes the next attempt due earlier. Hosts report their load every 250 ms,
  // and their reports are spread over that time.
  Duration plan_interval = std::chrono::milliseconds(200);
  // Grants that are confirmed within this time are written in one record, since
  // calls to the store are limited. A record is not delayed if no other grant
  // can be confirmed soon.
  Duration record_batch = std::chrono::milliseconds(60);
  // No planned move starts unless the store has responded within this time.
  Duration max_store_silence = std::chrono::milliseconds(2'500);
  // The first assignment of keys waits this long after the first target was
  // listed, so that other targets can be listed as well.
  Duration first_plan_wait = std::chrono::milliseconds(1'200);
  PlanOptions plan;
  KeySampleOptions samples;
};

// Grants keys to a target, or renews its lease on them.
struct GrantCommand {
  std::uint64_t id = 0;
  TargetInstance target;
  KeyRange keys;
  Fence fence = 0;
  Duration lease{};
  Duration timeout{};
  // Handover data that the last owner returned with its release; empty if there
  // is none.
  std::string handover;
  // Send the grant only over a connection that has carried an earlier command.
  // A new connection may lead to another instance of the target, which knows no
  // fences.
  bool kept_connection_only = false;
};

// Makes a target stop serving keys.
struct ReleaseCommand {
  std::uint64_t id = 0;
  TargetInstance target;
  KeyRange keys;
  Fence fence = 0;
  Duration timeout{};
};

// Appends the table to the store if its partition still ends at `at`.
struct AppendCommand {
  OwnershipTable table;
  Offset at = 0;
};

using Action = std::variant<GrantCommand, ReleaseCommand, AppendCommand>;

enum class CommandResult {
  kDone,
  // The target has seen a higher fence for one of the keys.
  kFenced,
  // Another process uses the address of the target.
  kWrongTarget,
  // The target has definitely not received the command.
  kNotSent,
  // The same, because the connection was refused. For logs only: the refusal
  // may come from the path to a target that runs and holds its keys.
  kRefused,
  // The command may take effect now or later.
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
  // Requests a second that the target can bear from all hosts together while it
  // is cold; empty if its service has no limit.
  std::optional<double> cold_requests_per_second;
};

// Decides which targets own the keys of one service and keeps their leases
// valid. Only one process at a time is the leader and does so; the conditional
// append of the store puts the decisions of successive leaders in order. Takes
// events with their time and returns the actions to be carried out.
class GrantCoordinator {
 public:
  GrantCoordinator(std::string service,
                   std::string writer,
                   std::string report_address,
                   const CoordinatorOptions& options);

  // The store has confirmed or withdrawn the leadership of this host.
  // `confirmed_at` is the time at which the call to the store was started.
  void OnLeadership(bool is_leader, TimePoint confirmed_at);
  // An ownership record was read from the store.
  void OnTable(const OwnershipTable& table, TimePoint now);
  // A record that is void or older than the newest table stands here. Hosts
  // that start would find it in place of the newest table, so the leader writes
  // its own again if that stands before it.
  void OnOlderRecord(Offset place);
  // The records of the store were read up to this offset, which is their end.
  // An end in another era than the store's has no effect.
  void OnEnd(Offset end);
  // The store has come back from a copy, so that records may be lost, also the
  // newest tables and those of a successor of this host. Eras that do not
  // increase have no effect.
  void OnStoreEra(Era era, TimePoint now);
  // The append succeeded and its record was passed to OnTable(), or it was
  // refused because the records already ended at a later offset, or its outcome
  // is unknown and all records up to the end have been read since.
  void OnAppendResolved() { append_pending_ = false; }
  void OnTargets(std::vector<OwnerTarget> targets, TimePoint now);
  void OnCommandResponse(const CommandResponse& command_response,
                         TimePoint now);
  void OnLoad(const LoadReport& report, TimePoint now);
  void OnStoreAnswered(TimePoint now);
  // Calls of this host to the store fail.
  void OnStoreLost() { store_up_since_ = std::nullopt; }
  // Another host has sent a heartbeat.
  void OnHostReport(const HostReport& report, TimePoint now);

  std::vector<Action> Tick(TimePoint now);

  // Returns whether this process acts on the newest record, which it has
  // written itself, or waits for earlier leases to end before it does so.
  bool IsActive(TimePoint now) const;
  bool is_leader() const { return is_leader_; }
  const std::optional<OwnershipTable>& table() const { return committed_; }

 private:
  // If several targets may hold the keys, all of them first stop serving them
  // (kQuiesce). Then, for one target after the other, the fence is raised
  // (kRaiseFence), so that grants still in flight have no effect, and the keys
  // are released (kRelease).
  enum class ReleaseStage { kQuiesce, kRaiseFence, kRelease, kDone };

  // Until when a target may hold keys.
  struct Hold {
    // Because of any grant that this process has sent to it.
    TimePoint until{};
    // Also because of grants of an earlier leader, until inherited_until_.
    bool inherited = false;
  };

  // A previous owner that has to release its keys.
  struct PendingRelease {
    TargetInstance target;
    ReleaseStage stage = ReleaseStage::kRaiseFence;
    int raise_count = 0;
    bool fence_raised = false;
    std::uint64_t command_id = 0;
    TimePoint next_try{};
    Hold hold;
    // Value of hold.until before the command in flight, restored if that
    // command was not sent.
    TimePoint held_before_command{};
  };

  struct RangeState {
    Assignment assignment;
    // For the owner.
    Hold hold;
    TimePoint held_before_command{};
    // Previous owners receive no command before this time.
    TimePoint first_command_at{};
    std::vector<PendingRelease> pending_releases;
    std::string handover;
    std::uint64_t command_id = 0;
    TimePoint next_grant{};
    bool granted = false;
    // The owner has confirmed a grant of the earlier era after the time at
    // which a successor from before the restore could still change owners.
    bool rechecked = false;
  };

  // State of the commands to one target and of the connection for its grants.
  struct Contact {
    // When the first of the recent failed grants was sent; zero if the target
    // has responded to its last command.
    TimePoint failing_since{};
    TimePoint last_failure{};
    int failures = 0;
    // The target has responded to a grant, and the connection has not been lost
    // since then.
    bool connected = false;
    // The time since which there is no connection.
    TimePoint unconnected_since{};
    // Id of the grant in flight; zero if there is none. Only one grant is sent
    // at a time, so that one connection is enough.
    std::uint64_t grant_in_flight = 0;
  };

  // A command that was sent and has no response yet.
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
  bool ActsOnOwnRecord() const;
  bool IsRechecking() const;
  bool HasUnknownHolders(TimePoint now) const;
  void Recheck(TimePoint now, std::vector<Action>& out);
  std::vector<Assignment> RecheckedAssignments() const;
  void ProposeUnchanged(TimePoint now, std::vector<Action>& out);
  bool CanRenew(TimePoint now) const;
  bool CanMove(TimePoint now) const;
  bool MayGrantTo(const Contact& contact, TimePoint now) const;
  Fence NextFence();
  std::uint64_t NewCommand(PendingCommand pending_command);
  Hold EarlierHold(const KeyRange& keys, const TargetInstance& target) const;
  TimePoint EndOf(const Hold& hold) const;
  Duration WithDrift(Duration lease) const;
  bool IsOutage(TimePoint now) const { return now < outage_until_; }
  Duration OutageGrantLease() const;
  Duration CurrentGrantLease(TimePoint now) const;
  void InheritFrom(const OwnershipTable& predecessor, TimePoint now);
  void UpdateInheritedUntil();
  void UpdateOutage();
  void NoteHosts(TimePoint now);
  bool IsHostListDue(TimePoint now) const;
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
  void Propose(std::vector<Assignment> assignments,
               TimePoint now,
               std::vector<Action>& out);
  static bool IsGrantDueSoon(const RangeState& range);
  void RecordGrantsIfDue(TimePoint now, std::vector<Action>& out);

  const std::string service_;
  const std::string writer_;
  const std::string report_address_;
  const CoordinatorOptions options_;
  bool is_leader_ = false;
  // The store has confirmed the leadership at least once, and no record of a
  // successor was read since then.
  bool may_renew_ = false;
  TimePoint leadership_confirmed_at_{};
  // When the record of a successor was last read.
  TimePoint successor_seen_at_{};
  TimePoint taken_over_at_{};
  // Until this time, a previous leader may still change owners.
  TimePoint moves_allowed_from_{};
  TimePoint store_answered_{};
  // Since when the store has answered this host; empty while it does not.
  std::optional<TimePoint> store_up_since_;
  // The same when this host took over.
  TimePoint own_store_up_since_{};
  OutageEvidence evidence_;
  // Until this time, the reports of other hosts allow this one to renew leases
  // without the store.
  TimePoint outage_until_{};
  // Lists of hosts that earlier leaders may count over, and the time until
  // which targets may hold keys because of their grants.
  std::vector<HostList> inherited_lists_;
  TimePoint inherited_until_{};
  // Lists of records that were proposed after the newest known one. The store
  // may carry out an append without a response, also later.
  std::vector<HostList> proposed_lists_;
  // The hosts that were heard from at the last tick, and since when they are
  // the same.
  HostList heard_hosts_;
  TimePoint heard_since_{};
  // Instances whose address now belongs to another process.
  std::set<TargetInstance> replaced_targets_;
  std::optional<OwnershipTable> committed_;
  // Of the store.
  Era era_ = 0;
  // The own record belongs to an earlier era, and the time in which this host
  // could act on it had ended when the store came back. A successor of that era
  // may have moved keys.
  bool own_record_lapsed_ = false;
  // Until this time, a successor of the earlier era may still change owners.
  TimePoint recheck_from_{};
  // An older record stands after the own one.
  bool is_hidden_in_store_ = false;
  // Offset at which the records end, once they have been read to the end.
  std::optional<Offset> end_;
  bool append_pending_ = false;
  std::uint64_t fence_count_ = 0;
  std::uint64_t command_count_ = 0;
  std::vector<RangeState> ranges_;
  std::vector<OwnerTarget> targets_;
  // Addresses of all instances that were listed at any time.
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
