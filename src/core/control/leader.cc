#include "core/control/leader.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace toucandock::core::control {
namespace {

// A host that has not acknowledged a move for this long gets no new serving
// lease, so that the move waits for it no longer than one lease.
constexpr Duration kAckGrace = std::chrono::milliseconds(150);
// A host that is not a member is removed when it has not renewed for this long.
constexpr Duration kHolderRetention = std::chrono::seconds(10);
// When a member renews but has not supported the leader for this long, a new
// election is needed.
constexpr Duration kSupportMissingAfter = std::chrono::seconds(2);
// Number of fences that an earlier leader may have used without this one
// knowing.
constexpr Fence kFenceSkip = Fence{1} << 16;
// A member without a lease counts as unavailable when it has not renewed for
// this long.
constexpr Duration kUnavailableAfter = std::chrono::seconds(1);
// An unavailable member counts as available again after renewing for this long.
constexpr Duration kPresentAfter = std::chrono::seconds(1);
// Interval between evaluations of all targets and units. Adds at most this much
// to the time until a loss is detected.
constexpr Duration kReevaluationInterval = std::chrono::milliseconds(10);
// Interval between placements when nothing else has changed, so that placement
// follows loads and warming targets.
constexpr Duration kPlaceInterval = std::chrono::seconds(1);
// Number of sequences that an earlier leader may have used without this one
// knowing. Without this gap, a host that still sends under such a higher
// sequence would seem to send under a sequence of this leader.
constexpr std::uint64_t kSequenceSkip = std::uint64_t{1} << 16;
constexpr int kSequenceBits = 32;

}  // namespace

Leader::Leader(const HostInfo& self,
               const lease::LeaseOptions& options,
               const ControlHooks& hooks,
               Replica& replica,
               const Ballot& ballot,
               const LeaderState& inherited,
               TimePoint now)
    : self_(self),
      options_(options),
      hooks_(hooks),
      replica_(replica),
      ballot_(ballot),
      elected_at_(now),
      authority_from_(now),
      authority_until_(now),
      leader_state_(inherited),
      targets_(self.id, options, ballot, now) {
  const ControlState& state = replica_.state();
  const bool is_new_membership =
      inherited.membership_offset != state.membership_offset;
  if (is_new_membership) {
    leader_state_ = LeaderState{};
    leader_state_.membership_offset = state.membership_offset;
    leader_state_.sequence = state.membership_offset << kSequenceBits;
    authority_from_ = lease::LatestEnd(
        options_, now, std::max(options_.grant, options_.serving));
  }
  leader_state_.ballot = ballot_;
  leader_state_.sequence += kSequenceSkip;
  leader_state_.commit_offset =
      std::max(leader_state_.commit_offset, state.next);
  next_fence_ = state.next_fence;
  for (const UnitMove& move : leader_state_.moves) {
    next_fence_ = std::max(next_fence_, move.to.fence + 1);
  }
  next_fence_ += kFenceSkip;
  if (is_new_membership) {
    RaiseFences();
  }
  voters_changed_ = state.voters_changed;
  voters_sequence_ = leader_state_.sequence + 1;
  InheritMoves(now);
  if (!is_new_membership) {
    AdoptEarlyAssignments(now);
  }
  replica_.set_leader_state(leader_state_);
  checkpoint_written_at_ = now;
  earlier_leases_end_ = lease::LatestEnd(options_, now, options_.serving);
  for (const auto& [id, member] : state.members) {
    holders_[id] = Holder{.host = member.host,
                          .lease_ends = earlier_leases_end_,
                          .last_renewal_at = now};
  }
  holders_[self_.id].host = self_;
  NoteNewMembers(now);
}

// Restarts the phases of inherited moves: this leader does not know which hosts
// and targets had replied to its predecessor.
void Leader::InheritMoves(TimePoint now) {
  for (UnitMove& move : leader_state_.moves) {
    if (move.phase != MovePhase::kActive) {
      move.phase = MovePhase::kRevoking;
      possible_earlier_owners_[move.unit].insert(move.to.owner);
    }
    move.since = leader_state_.sequence + 1;
    move_started_[move.unit] = now;
  }
}

// After the whole membership was lost, it is unknown which assignments an
// earlier leader had made effective without recording them in the log. All
// units get fences above any that it may have used.
void Leader::RaiseFences() {
  for (const auto& [unit, assignment] : replica_.state().assignments) {
    leader_state_.moves.push_back(
        UnitMove{.unit = unit,
                 .to = {assignment.owner, next_fence_++},
                 .from = assignment.owner});
  }
}

// Returns whether the log or a host shows a higher ballot or another
// membership.
bool Leader::IsSuperseded() const {
  return saw_higher_ballot_ ||
         replica_.state().membership_offset !=
             leader_state_.membership_offset ||
         replica_.state().ballot > ballot_;
}

// Returns whether this leader has been without authority for so long that other
// hosts have started to elect another one. While the log is unavailable, a
// leader that was cut off has no other way to learn that it was replaced.
bool Leader::HasLostQuorum(TimePoint now) const {
  const TimePoint since =
      std::max({authority_until_, authority_from_, elected_at_});
  return now - since > options_.election;
}

// Returns whether a member renews but has not supported this leader for a long
// time: it voted for a candidate that was not elected and must not follow a
// lower ballot any more. The member may have lost its own vote in the meantime.
bool Leader::HasMemberWithoutSupport(TimePoint now) const {
  if (now - elected_at_ < kSupportMissingAfter) {
    return false;
  }
  const auto& members = replica_.state().members;
  return std::any_of(holders_.begin(), holders_.end(), [&](const auto& it) {
    const Holder& holder = it.second;
    return members.contains(it.first) &&
           now - holder.last_renewal_at < options_.serving &&
           now - holder.supports_until > kSupportMissingAfter &&
           now - holder.renewing_since > kSupportMissingAfter;
  });
}

RenewReply Leader::OnRenew(const RenewRequest& request, TimePoint now) {
  RenewReply reply;
  reply.host = self_.id;
  reply.accepted = true;
  reply.leader = self_;
  reply.ballot = ballot_;
  reply.leader_time = now.time_since_epoch();
  reply.sequence = leader_state_.sequence;

  saw_higher_ballot_ =
      saw_higher_ballot_ ||
      (request.membership_offset == leader_state_.membership_offset &&
       request.ballot > ballot_);
  Holder& holder = holders_[request.host.id];
  if (now - holder.last_renewal_at > options_.serving) {
    holder.renewing_since = now;
  }
  holder.host = request.host;
  holder.last_renewal_at = now;
  holder.busy = request.busy;
  holder.leaving = request.leaving;
  if (request.membership_offset == leader_state_.membership_offset &&
      request.echoed_leader_time > elected_at_.time_since_epoch()) {
    holder.supports_until =
        std::max(holder.supports_until,
                 TimePoint(request.echoed_leader_time) + options_.support);
  }
  const bool same_ballot = request.ballot == ballot_;
  if (same_ballot) {
    holder.acked_sequence =
        std::max(holder.acked_sequence, request.acked_sequence);
  }
  for (const detection::Observation& observation : request.observations) {
    targets_.OnObservation(observation, now);
  }
  OnRates(request.host.id, request.rates, now);
  UpdateAuthority(now);
  if (HasAuthority(now) && same_ballot && !IsBlockingMoves(holder, now)) {
    reply.lease = true;
    holder.lease_ends = lease::LatestEnd(options_, now, options_.serving);
  }
  if (!same_ballot || request.acked_sequence < leader_state_.sequence) {
    reply.leader_state = leader_state_;
  }
  reply.suspects = targets_.Suspects(Observers(now), now);
  return reply;
}

// Returns whether a move has waited for the acknowledgement of this holder for
// longer than kAckGrace.
bool Leader::IsBlockingMoves(const Holder& holder, TimePoint now) const {
  return std::any_of(leader_state_.moves.begin(), leader_state_.moves.end(),
                     [&](const UnitMove& move) {
                       return move.phase == MovePhase::kRevoking &&
                              move.since <= leader_state_.sequence &&
                              move.since > holder.acked_sequence &&
                              now - move_started_.at(move.unit) > kAckGrace;
                     });
}

void Leader::OnOwnAck(std::uint64_t acked_sequence,
                      const std::vector<Unit>& busy,
                      TimePoint now) {
  Holder& own = holders_[self_.id];
  own.acked_sequence = acked_sequence;
  own.busy = busy;
  own.last_renewal_at = now;
  own.supports_until = now + options_.support;
  UpdateAuthority(now);
  if (!IsBlockingMoves(own, now)) {
    own_lease_until_ = authority_until_;
  }
  own.lease_ends = std::max(own.lease_ends, own_lease_until_);
}

void Leader::OnRates(
    const HostId& host,
    const std::map<std::string, placement::ServiceRates>& rates,
    TimePoint now) {
  if (!rates.empty()) {
    loads_.Report(host, rates, now);
  }
}

void Leader::OnLogRead(const LogReadEvent& read, TimePoint now, Actions& out) {
  first_retained_ = std::max(first_retained_, read.first_retained);
  writer_.OnLogRead(read, now, out);
}

void Leader::OnAppendResult(const AppendResultEvent& result, TimePoint now) {
  writer_.OnAppendResult(result, now);
}

void Leader::OnGrantAnswer(const GrantAnswerEvent& event, TimePoint now) {
  targets_.OnGrantAnswer(event, now);
}

void Leader::OnProbeAnswer(const ProbeAnswerEvent& event, TimePoint now) {
  targets_.OnProbeAnswer(event, now);
}

void Leader::OnObservation(const detection::Observation& observation,
                           TimePoint now) {
  targets_.OnObservation(observation, now);
}

void Leader::OnHostList(const HostListEvent& list, TimePoint now) {
  targets_.OnHostList(list, now);
}

// The leader has authority as long as a majority of the voters is certain not
// to vote for another host.
void Leader::UpdateAuthority(TimePoint now) {
  const std::vector<HostId> voters = Voters(replica_.state());
  std::vector<TimePoint> supports;
  for (const HostId& id : voters) {
    const auto it = holders_.find(id);
    supports.push_back(it == holders_.end() ? TimePoint{}
                                            : it->second.supports_until);
  }
  if (supports.empty() || now < authority_from_) {
    authority_until_ = now;
    return;
  }
  std::sort(supports.rbegin(), supports.rend());
  authority_until_ = supports[MajorityOf(voters.size()) - 1];
}

// Applies all entries that were read and advances the commit offset to their
// end.
void Leader::AdvanceCommitOffset(TimePoint now) {
  if (replica_.log_end() <= leader_state_.commit_offset) {
    return;
  }
  replica_.ApplyAll();
  if (IsSuperseded()) {
    return;
  }
  const ControlState& state = replica_.state();
  leader_state_.commit_offset = state.next;
  changed_ = true;
  AdoptEarlyAssignments(now);
  replica_.set_leader_state(leader_state_);
  NoteNewMembers(now);
  if (state.voters_changed != voters_changed_) {
    voters_changed_ = state.voters_changed;
    voters_sequence_ = leader_state_.sequence + 1;
  }
}

// A host that has just joined, or joined again after it was evicted, may not
// have found the leader yet. The time without a renewal therefore counts from
// now.
void Leader::NoteNewMembers(TimePoint now) {
  std::set<HostId> members;
  for (const auto& [id, member] : replica_.state().members) {
    members.insert(id);
    if (!members_.contains(id)) {
      Holder& holder = holders_[id];
      holder.host = member.host;
      holder.last_renewal_at = now;
      holder.renewing_since = now;
    }
  }
  members_ = std::move(members);
}

// An assignment that an earlier leader recorded without this one knowing
// becomes a move, since nobody has waited for its old owner to release the unit
// yet.
void Leader::AdoptEarlyAssignments(TimePoint now) {
  for (const auto& early_entry : replica_.early_assignments()) {
    const Unit& unit = early_entry.first;
    const Replica::EarlyAssignment& early_assignment = early_entry.second;
    const auto found = replica_.state().assignments.find(unit);
    if (found == replica_.state().assignments.end() ||
        found->second.fence <= early_assignment.before.fence) {
      continue;
    }
    const Assignment& to = found->second;
    next_fence_ = std::max(next_fence_, to.fence + 1);
    const auto known =
        std::find_if(leader_state_.moves.begin(), leader_state_.moves.end(),
                     [&](const UnitMove& it) { return it.unit == unit; });
    UnitMove move = {.unit = unit,
                     .to = to,
                     .from = early_assignment.before.owner,
                     .since = leader_state_.sequence + 1};
    if (known != leader_state_.moves.end()) {
      if (known->to.fence >= to.fence) {
        continue;
      }
      possible_earlier_owners_[unit].insert(known->to.owner);
      move.from =
          known->phase == MovePhase::kRevoking ? known->from : known->to.owner;
      leader_state_.moves.erase(known);
    }
    possible_earlier_owners_[unit].insert(to.owner);
    leader_state_.moves.push_back(std::move(move));
    move_started_[unit] = now;
  }
}

void Leader::UpdateTargetLiveness(TimePoint now, Actions& out) {
  for (const TargetId& id : targets_.UpdateLiveness(Observers(now), now)) {
    const bool lost = targets_.lost().contains(id);
    out.push_back(
        DecisionAction{absl::StrCat("target ", id, lost ? " lost" : " back"),
                       lost ? "two independent failed observations"
                            : "responded without interruption for 1s"});
  }
  LeaderState& d = leader_state_;
  std::set<TargetId> lost = targets_.lost();
  std::set<TargetId> draining = targets_.draining();
  std::set<TargetId> cold = targets_.cold(now);
  if (lost != d.lost || draining != d.draining || cold != d.cold) {
    d.lost = std::move(lost);
    d.draining = std::move(draining);
    d.cold = std::move(cold);
    changed_ = true;
  }
}

void Leader::PublishLeaderState(TimePoint now, Actions& out) {
  if (!changed_) {
    return;
  }
  changed_ = false;
  ++leader_state_.sequence;
  replica_.set_leader_state(leader_state_);
  targets_.SetUnits(replica_);
  out.push_back(PublishViewAction{});
  for (const auto& [id, holder] : holders_) {
    if (id != self_.id && now < holder.lease_ends) {
      out.push_back(SendNotifyAction{holder.host});
    }
  }
}

size_t Leader::VotersWhoAcked(std::uint64_t sequence) const {
  size_t n = 0;
  for (const HostId& id : Voters(replica_.state())) {
    const auto it = holders_.find(id);
    if (it != holders_.end() && it->second.acked_sequence >= sequence) {
      ++n;
    }
  }
  return n;
}

void Leader::RemoveExpiredHolders(TimePoint now) {
  loads_.RemoveStaleHosts(now);
  std::erase_if(holders_, [&](const auto& it) {
    return it.first != self_.id && now > it.second.lease_ends &&
           now - it.second.last_renewal_at > kHolderRetention &&
           !replica_.state().members.contains(it.first);
  });
}

// Returns the number of hosts that can currently confirm an observation of a
// target.
size_t Leader::Observers(TimePoint now) const {
  return std::count_if(holders_.begin(), holders_.end(), [&](const auto& it) {
    return now < it.second.lease_ends;
  });
}

// Evaluates all targets and units. The cost grows with their number, so this is
// not done for every event.
void Leader::Reevaluate(TimePoint now, Actions& out) {
  if (!changed_ && now < reevaluate_at_) {
    return;
  }
  reevaluate_at_ = now + kReevaluationInterval;
  UpdateTargetLiveness(now, out);
  UpdateHostLiveness(now, out);
  const bool same = !changed_ && placed_revision_ == targets_.revision() &&
                    placed_sequence_ == leader_state_.sequence;
  if (!same || now >= place_at_) {
    PlaceServices(now, out);
  }
}

void Leader::UpdateHostLiveness(TimePoint now, Actions& out) {
  std::set<HostId> unavailable_hosts;
  for (const auto& [id, member] : replica_.state().members) {
    if (IsUnavailable(id, now)) {
      unavailable_hosts.insert(id);
    }
  }
  if (unavailable_hosts == leader_state_.unavailable_hosts) {
    return;
  }
  for (const HostId& id : unavailable_hosts) {
    if (!leader_state_.unavailable_hosts.contains(id)) {
      out.push_back(DecisionAction{absl::StrCat("host ", id, " is unavailable"),
                                   "its serving lease ended"});
    }
  }
  leader_state_.unavailable_hosts = std::move(unavailable_hosts);
  changed_ = true;
}

// A host that returns stays unavailable for kPresentAfter, so that it learns
// that it was unavailable before other hosts rely on it again.
bool Leader::IsUnavailable(const HostId& id, TimePoint now) const {
  const auto it = holders_.find(id);
  if (id == self_.id || it == holders_.end()) {
    return false;
  }
  const Holder& holder = it->second;
  if (leader_state_.unavailable_hosts.contains(id)) {
    return now - holder.last_renewal_at > options_.serving ||
           holder.renewing_since == TimePoint{} ||
           now - holder.renewing_since < kPresentAfter;
  }
  return now >= holder.lease_ends &&
         now - holder.last_renewal_at > kUnavailableAfter;
}

void Leader::PlaceServices(TimePoint now, Actions& out) {
  placed_revision_ = targets_.revision();
  placed_sequence_ = leader_state_.sequence;
  place_at_ = now + kPlaceInterval;
  if (replica_.config() == nullptr) {
    return;
  }
  for (const config::ServiceConfig& service : replica_.config()->services) {
    if (service.keyed) {
      PlaceService(service, now, out);
    }
  }
}

// Does everything that is due. All work is derived from the state, so that a
// lost message or a late event only delays it.
void Leader::Step(TimePoint now, Actions& out) {
  UpdateAuthority(now);
  AdvanceCommitOffset(now);
  if (IsSuperseded()) {
    return;
  }
  RemoveExpiredHolders(now);
  if (replica_.config() && targets_version_ != replica_.config_version()) {
    targets_version_ = replica_.config_version();
    targets_.SetTargets(*replica_.config());
    changed_ = true;
  }
  if (!HasAuthority(now)) {
    // Hosts have to learn about this leader before they can support it.
    PublishLeaderState(now, out);
    return;
  }
  Reevaluate(now, out);
  PublishLeaderState(now, out);
  ProgressMoves(now, out);
  DropFinishedMoves();
  PublishLeaderState(now, out);
  targets_.SendDue(now, out);
  WriteNextRecord(now, out);
}

}  // namespace toucandock::core::control
