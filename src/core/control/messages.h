#ifndef TOUCANDOCK_CORE_CONTROL_MESSAGES_H_
#define TOUCANDOCK_CORE_CONTROL_MESSAGES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "core/control/control_state.h"
#include "core/control/records.h"
#include "core/detection/loss_detector.h"
#include "core/placement/key_rates.h"
#include "core/time.h"

namespace toucandock::core::control {

enum class MovePhase {
  // Hosts and the old owner are releasing the unit; it has no owner.
  kRevoking,
  // A grant is being sent to the new owner; the unit has no owner yet.
  kGranting,
  kActive,
};

// A change of a unit's owner or fence. It ends once the move is active and the
// applied log contains the new assignment.
struct UnitMove {
  Unit unit;
  Assignment to;
  // Empty when the unit had no owner. (A move whose new owner is empty returns
  // a hot key to its shard.)
  TargetId from;
  MovePhase phase = MovePhase::kRevoking;
  // The old owner is alive, so the move waits for requests in flight to end.
  bool planned = false;
  // Sequence of the leader state that started the move.
  std::uint64_t since = 0;
  // The move becomes active only after the move of this unit: a shard takes a
  // hot key back only when the owner of the key has released it.
  std::optional<Unit> after;

  bool operator==(const UnitMove&) const = default;
};

// State that the leader has published: the log up to `commit_offset` and the
// moves on top of it.
struct LeaderState {
  // Offset of the record that created the membership.
  Offset membership_offset = 0;
  Ballot ballot;
  std::uint64_t sequence = 0;
  Offset commit_offset = 0;
  std::vector<UnitMove> moves;
  std::set<TargetId> lost;
  std::set<TargetId> draining;
  std::set<TargetId> cold;
  // Members whose serving lease has certainly ended. They stay members, but
  // other hosts no longer rely on them; so neither a lost host nor an outage of
  // the log, during which no host can be evicted, delays requests.
  std::set<HostId> unavailable_hosts;

  auto Position() const {
    return std::tie(membership_offset, ballot, sequence);
  }
};

struct RenewRequest {
  HostInfo host;
  Offset membership_offset = 0;
  // Clock reading of the leader from its last reply; zero before the first
  // reply.
  Duration echoed_leader_time{};
  Ballot ballot;
  // Sequence of a leader state: the host no longer sends any request under an
  // earlier one.
  std::uint64_t acked_sequence = 0;
  std::uint64_t config_version = 0;
  // Units with requests in flight.
  std::vector<Unit> busy;
  std::vector<detection::Observation> observations;
  // Request rates by service; empty unless there is a new measurement.
  std::map<std::string, placement::ServiceRates> rates;
  bool leaving = false;
};

struct RenewReply {
  // The process that replied. After a restart, it differs from the process that
  // the request was meant for.
  HostId host;
  // False if the replying host is not the leader.
  bool accepted = false;
  // The leader that the replying host knows, if any.
  std::optional<HostInfo> leader;
  Ballot ballot;
  Duration leader_time{};
  // Whether the reply extends the serving lease.
  bool lease = false;
  // The leader has stepped down; hosts that supported it may vote at once.
  bool resigned = false;
  std::uint64_t sequence = 0;
  // Set only when the leader state of the requester is older.
  std::optional<LeaderState> leader_state;
  // Targets that the requester should probe.
  std::vector<TargetId> suspects;
};

struct VoteRequest {
  HostInfo host;
  Offset membership_offset = 0;
  Offset voters_changed = 0;
  Ballot ballot;
};

struct VoteReply {
  bool granted = false;
  Ballot promised;
  LeaderState leader_state;
};

// State for a host that cannot read the log up to the offset that it needs.
struct StateReply {
  std::shared_ptr<const ControlState> state;
  LeaderState leader_state;
};

struct UnitFence {
  Unit unit;
  Fence fence = 0;

  bool operator==(const UnitFence&) const = default;
};

struct Grant {
  TargetId target;
  // Process that the grant is for. Any other process rejects the grant, because
  // its expiry refers to the clock of this process.
  std::string instance;
  Ballot ballot;
  std::uint64_t sequence = 0;
  // Expiry on the target's own clock, so that a delayed grant is not valid for
  // longer.
  Duration expires_at{};
  std::vector<UnitFence> units;
};

enum class ContactResult { kOk, kRefused, kTimeout, kRejected };

enum class TargetHealth { kServing, kDraining, kCold };

// Response of a target to a grant or a probe.
struct TargetAnswer {
  ContactResult result = ContactResult::kTimeout;
  // Reading of the target's clock when it responded.
  Duration clock{};
  // Differs for each process of the target.
  std::string instance;
  TargetHealth health = TargetHealth::kServing;
};

struct ListedHost {
  std::string address;
  bool leaving = false;
};

// Inputs of the controller. A token links a request to the action that replies
// to it.
struct TickEvent {
  // Lowest sequence of a leader state under which a request is still being
  // sent; empty when no request is being sent.
  std::optional<std::uint64_t> oldest_sending;
  std::vector<Unit> busy;
  // Request rates by service; empty unless there is a new measurement.
  std::map<std::string, placement::ServiceRates> rates;
};
struct LogReadEvent {
  // Time at which the read was sent.
  TimePoint sent_at;
  Offset first_retained = 0;
  Offset end = 0;
  std::vector<LogEntry> entries;
};
struct LogFailedEvent {};
struct AppendResultEvent {
  std::string record_id;
  bool stored = false;
};
struct RenewRequestEvent {
  std::uint64_t token = 0;
  RenewRequest request;
};
struct RenewReplyEvent {
  HostId from;
  TimePoint sent_at;
  // Empty when no reply arrived.
  std::optional<RenewReply> reply;
};
struct VoteRequestEvent {
  std::uint64_t token = 0;
  VoteRequest request;
};
struct VoteReplyEvent {
  HostId from;
  Ballot ballot;
  std::optional<VoteReply> reply;
};
struct StateRequestEvent {
  std::uint64_t token = 0;
};
struct StateReplyEvent {
  std::optional<StateReply> reply;
};
struct NotifyEvent {};
struct GrantAnswerEvent {
  TargetId target;
  std::uint64_t sequence = 0;
  TargetAnswer answer;
};
struct ProbeAnswerEvent {
  TargetId target;
  TargetAnswer answer;
};
struct TrafficObservationEvent {
  TargetId target;
  detection::ObservationKind kind = detection::ObservationKind::kAlive;
};
struct HostListEvent {
  std::vector<ListedHost> hosts;
};
struct StopEvent {};

using Event = std::variant<TickEvent,
                           LogReadEvent,
                           LogFailedEvent,
                           AppendResultEvent,
                           RenewRequestEvent,
                           RenewReplyEvent,
                           VoteRequestEvent,
                           VoteReplyEvent,
                           StateRequestEvent,
                           StateReplyEvent,
                           NotifyEvent,
                           GrantAnswerEvent,
                           ProbeAnswerEvent,
                           TrafficObservationEvent,
                           HostListEvent,
                           StopEvent>;

// Outputs of the controller.
struct AppendAction {
  Record record;
};
struct SendRenewAction {
  HostInfo to;
  RenewRequest request;
};
struct SendVoteAction {
  HostInfo to;
  VoteRequest request;
};
struct FetchStateAction {
  HostInfo from;
};
struct SendNotifyAction {
  HostInfo to;
};
struct SendGrantAction {
  std::string address;
  Grant grant;
};
struct SendProbeAction {
  TargetId target;
  std::string address;
};
struct ReplyRenewAction {
  std::uint64_t token = 0;
  RenewReply reply;
};
struct ReplyVoteAction {
  std::uint64_t token = 0;
  VoteReply reply;
};
struct ReplyStateAction {
  std::uint64_t token = 0;
  StateReply reply;
};
// The state by which requests are routed has changed.
struct PublishViewAction {};
// A change of state, for the decision history and the log.
struct DecisionAction {
  std::string what;
  std::string cause;
};

using Action = std::variant<AppendAction,
                            SendRenewAction,
                            SendVoteAction,
                            FetchStateAction,
                            SendNotifyAction,
                            SendGrantAction,
                            SendProbeAction,
                            ReplyRenewAction,
                            ReplyVoteAction,
                            ReplyStateAction,
                            PublishViewAction,
                            DecisionAction>;

using Actions = std::vector<Action>;

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_MESSAGES_H_
