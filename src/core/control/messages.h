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
  // Hosts and the old owner are giving the unit up; it has no owner.
  kRevoking,
  // The new owner is being given its grant; the unit has no owner yet.
  kGranting,
  kActive,
};

// A change of a unit's owner or fence that is not yet both active and part of
// the folded state.
struct UnitMove {
  Unit unit;
  Assignment to;
  // Empty when the unit had no owner. A move to nobody gives a hot key back to
  // its shard.
  TargetId from;
  MovePhase phase = MovePhase::kRevoking;
  // The old owner is alive: requests in flight end before the unit moves.
  bool planned = false;
  // Sequence of the directive that started the move.
  std::uint64_t since = 0;
  // The move becomes active only after that of this unit. A shard takes a hot
  // key back only when the key's owner has given it up.
  std::optional<Unit> after;

  bool operator==(const UnitMove&) const = default;
};

// What the leader has put in force: the folded state up to `effective` and
// the moves on top of it.
struct LeaderState {
  // Offset of the record that founded the membership.
  Offset membership_offset = 0;
  Ballot ballot;
  std::uint64_t sequence = 0;
  Offset commit_offset = 0;
  std::vector<UnitMove> moves;
  std::set<TargetId> lost;
  std::set<TargetId> draining;
  std::set<TargetId> cold;
  // Members whose serving lease has surely ended. They stay members, but other
  // hosts count on them no more; so neither a lost host nor an outage of the
  // log, in which nobody can be evicted, holds up requests.
  std::set<HostId> unavailable_hosts;

  auto Position() const {
    return std::tie(membership_offset, ballot, sequence);
  }
};

struct RenewRequest {
  HostInfo host;
  Offset membership_offset = 0;
  // The leader's clock in its last reply; zero before the first.
  Duration echoed_leader_time{};
  Ballot ballot;
  // Highest directive under whose predecessors the host sends no more.
  std::uint64_t acked_sequence = 0;
  std::uint64_t config_version = 0;
  // Units with requests in flight.
  std::vector<Unit> busy;
  std::vector<detection::Observation> observations;
  // Request rates by service; only when there is a new measurement.
  std::map<std::string, placement::ServiceRates> rates;
  bool leaving = false;
};

struct RenewReply {
  // The answering process; differs from the one asked after a restart.
  HostId host;
  // False: the answering host is not the leader.
  bool accepted = false;
  // The leader that the answering host knows, if any.
  std::optional<HostInfo> leader;
  Ballot ballot;
  Duration leader_time{};
  // The reply extends the serving lease.
  bool lease = false;
  // The leader steps down; its supporters may vote at once.
  bool resigned = false;
  std::uint64_t sequence = 0;
  // Only when the requester's directive is older.
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

// State for a host that cannot read the log as far as it needs to.
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
  // Process that the grant is for; another one refuses it, since the end of
  // the grant is stated on this one's clock.
  std::string instance;
  Ballot ballot;
  std::uint64_t sequence = 0;
  // On the target's own clock, so that a delayed grant does not last longer.
  Duration expires_at{};
  std::vector<UnitFence> units;
};

enum class ContactResult { kOk, kRefused, kTimeout, kRejected };

enum class TargetHealth { kServing, kDraining, kCold };

// Answer of a target to a grant or a probe.
struct TargetAnswer {
  ContactResult result = ContactResult::kTimeout;
  // The target's clock while it answered.
  Duration clock{};
  // Changes with each process of the target.
  std::string instance;
  TargetHealth health = TargetHealth::kServing;
};

struct ListedHost {
  std::string address;
  bool leaving = false;
};

// Inputs of the controller. Tokens pair a request with its reply action.
struct TickEvent {
  // Oldest directive sequence under which a request is still being sent;
  // empty when none is.
  std::optional<std::uint64_t> oldest_sending;
  std::vector<Unit> busy;
  // Request rates by service; only when there is a new measurement.
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
  // Empty when no answer arrived.
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
// The view that requests are routed by changed.
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
