#include "core/control/member.h"

#include <algorithm>
#include <utility>

namespace toucandock::core::control {
namespace {

// How long a host waits for its own log reader before it fetches the state from
// the leader.
constexpr Duration kLogLagLimit = std::chrono::milliseconds(200);
// After this long without a reply from the leader, a host asks other hosts for
// the leader: the one that it knows may have been lost and replaced.
constexpr Duration kLeaderTimeout = std::chrono::milliseconds(400);

}  // namespace

Member::Member(const HostInfo& self,
               const lease::LeaseOptions& options,
               std::vector<HostInfo> seeds,
               Replica& replica)
    : self_(self),
      options_(options),
      seeds_(std::move(seeds)),
      replica_(replica) {}

void Member::OnTick(const TickEvent& tick, TimePoint now) {
  if (last_contact_ == TimePoint{}) {
    last_contact_ = now;
  }
  busy_ = tick.busy;
  if (!tick.rates.empty()) {
    rates_ = tick.rates;
  }
  // A leader state is acknowledged once no request that was routed under an
  // earlier one is still being sent. Only a tick after the leader state was
  // applied shows this: requests may have started since the previous tick.
  const std::uint64_t before = acked_sequence_;
  acked_sequence_ = replica_.leader_state().sequence;
  if (tick.oldest_sending) {
    acked_sequence_ = std::min(acked_sequence_, *tick.oldest_sending);
  }
  renew_now_ = renew_now_ || acked_sequence_ > before;
}

std::map<std::string, placement::ServiceRates> Member::TakeRates() {
  return std::exchange(rates_, {});
}

void Member::AddObservation(const detection::Observation& observation) {
  const ObservationKey key(observation.target, observation.source);
  const bool failed = observation.kind != detection::ObservationKind::kAlive;
  if (!failed && !observations_.contains(key) &&
      !reported_failures_.contains(key)) {
    return;
  }
  observations_[key] = observation;
  // Only the first failed observation is urgent. If each were sent at once, the
  // suspects in the replies would lead to more probes and thus to more
  // observations.
  renew_now_ = renew_now_ || (failed && !reported_failures_.contains(key));
}

// Each observation is reported once: a timeout that is repeated in every
// renewal would count many times.
std::vector<detection::Observation> Member::TakeObservations() {
  std::vector<detection::Observation> taken;
  for (const auto& [key, observation] : observations_) {
    taken.push_back(observation);
    if (observation.kind == detection::ObservationKind::kAlive) {
      reported_failures_.erase(key);
    } else {
      reported_failures_.insert(key);
    }
  }
  observations_.clear();
  return taken;
}

// Probes each suspect at most once in a renewal interval.
void Member::Probe(const std::vector<TargetId>& suspects,
                   TimePoint now,
                   Actions& out) {
  for (const TargetId& target : suspects) {
    const auto [it, added] = probed_at_.try_emplace(target, now);
    if (!added && now - it->second < options_.renew_interval) {
      continue;
    }
    it->second = now;
    // The address is filled in by the controller.
    out.push_back(SendProbeAction{.target = target, .address = ""});
  }
}

void Member::SetLeaving() {
  leaving_ = true;
  renew_now_ = true;
}

void Member::OnRenewReply(const RenewReplyEvent& event,
                          TimePoint now,
                          Actions& out) {
  if (!event.reply || is_leading_) {
    return;
  }
  const RenewReply& reply = *event.reply;
  if (!reply.accepted) {
    OnNotLeaderReply(event, now);
    return;
  }
  if (reply.ballot < promised_) {
    return;
  }
  promised_ = reply.ballot;
  candidacy_.reset();
  last_contact_ = now;
  leader_time_ = reply.leader_time;
  leader_time_received_ = now;
  if (reply.leader) {
    SetLeader(*reply.leader, now);
  }
  if (reply.leader_state &&
      reply.leader_state->Position() > replica_.leader_state().Position()) {
    if (!pending_leader_state_) {
      leader_state_pending_since_ = now;
    }
    pending_leader_state_ = reply.leader_state;
    TryPendingLeaderState(now, out);
  }
  // A lease permits sending only under the current leader state. Under an
  // earlier one, or with records applied beyond the commit offset, this host
  // may see new owners although the leader has not waited for the old ones yet.
  const LeaderState& leader_state = replica_.leader_state();
  if (reply.lease && leader_state.ballot == reply.ballot &&
      leader_state.sequence >= reply.sequence &&
      replica_.state().next <= leader_state.commit_offset) {
    lease_until_ = std::max(lease_until_, event.sent_at + options_.serving);
  }
  Probe(reply.suspects, now, out);
}

// Handles a reply of a host that is not the leader but may know the leader.
void Member::OnNotLeaderReply(const RenewReplyEvent& event, TimePoint now) {
  const RenewReply& reply = *event.reply;
  const bool was_leader = leader_ && leader_->id == event.from;
  if (was_leader) {
    ClearLeader();
  }
  if (was_leader && reply.resigned && reply.host == event.from) {
    // The leader no longer has authority, so the promise to support it ends.
    // The reply of a stopping host that was not this host's leader does not
    // affect that promise.
    support_until_ = now;
    last_contact_ = now - options_.election;
  }
  // An earlier process at this host's own address is no longer the leader, and
  // neither is the host that has just replied that it is not.
  if (!leader_ && reply.leader && reply.leader->id != event.from &&
      reply.leader->peer_address != self_.peer_address) {
    SetLeader(*reply.leader, now);
    renew_now_ = true;
  }
}

void Member::SetLeader(const HostInfo& leader, TimePoint now) {
  leader_ = leader;
  leader_confirmed_at_ = now;
}

// Also clears the time to echo, so that no renewal supports another leader by
// mistake: the leader's time has no meaning on another host's clock.
void Member::ClearLeader() {
  leader_.reset();
  leader_time_.reset();
}

// Applies the pending leader state once the log has been read up to its commit
// offset. When the log reader lags behind, fetches the state from the leader
// instead.
void Member::TryPendingLeaderState(TimePoint now, Actions& out) {
  if (!pending_leader_state_) {
    return;
  }
  if (replica_.Apply(*pending_leader_state_)) {
    pending_leader_state_.reset();
    out.push_back(PublishViewAction{});
  } else if (leader_ &&
             pending_leader_state_->commit_offset > replica_.log_end() &&
             now - leader_state_pending_since_ >= kLogLagLimit) {
    leader_state_pending_since_ = now;
    out.push_back(FetchStateAction{*leader_});
  }
}

// Grants a vote only when this host's support of another leader has ended and
// the candidate's membership is not older than this host's.
VoteReply Member::OnVoteRequest(const VoteRequest& request, TimePoint now) {
  ResetOnNewMembership();
  VoteReply reply;
  const ControlState& state = replica_.state();
  const bool current = request.membership_offset == state.membership_offset &&
                       request.voters_changed >= state.voters_changed;
  // The promise does not exclude a vote for the supported host itself: when it
  // asks for votes again, it no longer leads under its earlier ballot.
  const bool free = is_leading_ ? now >= authority_until_
                                : now >= support_until_ ||
                                      supported_leader_ == request.host.id;
  highest_ballot_number_ =
      std::max(highest_ballot_number_, request.ballot.number);
  // Only the voter itself may vote: a new process at its address does not know
  // the voter's promises.
  const auto self = state.members.find(self_.id);
  const bool votes = self != state.members.end() && self->second.votes;
  const bool above_own = !candidacy_ || request.ballot > candidacy_->ballot;
  if (votes && current && free && above_own && request.ballot > promised_) {
    promised_ = request.ballot;
    ClearLeader();
    last_contact_ = now;
    candidacy_.reset();
    reply.granted = true;
    reply.leader_state = replica_.leader_state();
  }
  reply.promised =
      candidacy_ ? std::max(promised_, candidacy_->ballot) : promised_;
  return reply;
}

void Member::OnVoteReply(const VoteReplyEvent& event) {
  if (!candidacy_ || !event.reply || event.ballot != candidacy_->ballot ||
      !replica_.state().members.contains(event.from)) {
    return;
  }
  if (!event.reply->granted) {
    // The next candidacy has to start above the ballot that the voter promised.
    highest_ballot_number_ =
        std::max(highest_ballot_number_, event.reply->promised.number);
    return;
  }
  candidacy_->granted.insert(event.from);
  if (event.reply->leader_state.Position() >
      candidacy_->latest_leader_state.Position()) {
    candidacy_->latest_leader_state = event.reply->leader_state;
    candidacy_->latest_leader_state_from =
        replica_.state().members.at(event.from).host;
  }
}

std::optional<LeaderState> Member::Step(TimePoint now, Actions& out) {
  ResetOnNewMembership();
  if (is_leading_) {
    return std::nullopt;
  }
  TryPendingLeaderState(now, out);
  if (std::optional<LeaderState> won = StepCandidacy(now, out)) {
    return won;
  }
  if (leader_ && now - leader_confirmed_at_ >= kLeaderTimeout) {
    ClearLeader();
  }
  if (renew_now_ || now - last_sent_ >= options_.renew_interval) {
    SendRenewal(now, out);
  }
  if (!candidacy_ && IsEligible() && now >= support_until_ &&
      now - last_contact_ >= ElectionDelay()) {
    StartCandidacy(now, out);
  }
  return std::nullopt;
}

// Returns the leader state to continue from once there are enough votes.
std::optional<LeaderState> Member::StepCandidacy(TimePoint now, Actions& out) {
  if (!candidacy_) {
    return std::nullopt;
  }
  const size_t needed = MajorityOf(Voters(replica_.state()).size());
  if (candidacy_->granted.size() >= needed) {
    Candidacy won = *std::exchange(candidacy_, std::nullopt);
    if (won.latest_leader_state.commit_offset <= replica_.log_end()) {
      promised_ = won.ballot;
      return std::move(won.latest_leader_state);
    }
    // Moves that were recorded below that offset are no longer part of the
    // leader state; without those records, this host would restore older
    // owners.
    out.push_back(FetchStateAction{won.latest_leader_state_from});
  } else if (now - candidacy_->started > options_.election_step) {
    candidacy_.reset();
  }
  return std::nullopt;
}

bool Member::IsEligible() const {
  const auto it = replica_.state().members.find(self_.id);
  return !leaving_ && it != replica_.state().members.end() &&
         it->second.votes && !it->second.leaving;
}

// Returns how long this host waits without a leader before it becomes a
// candidate. The only voter of a fleet has no other candidate to wait for.
Duration Member::ElectionDelay() const {
  const std::vector<HostId> voters = Voters(replica_.state());
  if (voters.size() == 1) {
    return Duration::zero();
  }
  const auto rank =
      std::lower_bound(voters.begin(), voters.end(), self_.id) - voters.begin();
  return options_.election + options_.election_step * rank;
}

void Member::SendRenewal(TimePoint now, Actions& out) {
  const std::optional<HostInfo> to = leader_ ? leader_ : NextContact();
  last_sent_ = now;
  renew_now_ = false;
  if (!to) {
    return;
  }
  RenewRequest request;
  request.host = self_;
  request.membership_offset = replica_.state().membership_offset;
  request.echoed_leader_time =
      leader_ ? leader_time_.value_or(Duration::zero()) : Duration::zero();
  request.ballot = replica_.leader_state().ballot;
  request.acked_sequence = acked_sequence_;
  request.config_version = replica_.config_version();
  request.busy = busy_;
  request.leaving = leaving_;
  if (leader_) {
    request.rates = TakeRates();
    request.observations = TakeObservations();
  }
  if (leader_ && leader_time_) {
    // The leader counts its support from the echoed time, which is older than
    // the time of receipt on this host; so this promise lasts longer than the
    // leader relies on it. Renewals that repeat an echoed time do not extend
    // the promise; otherwise a host would never stop supporting a lost leader.
    supported_leader_ = leader_->id;
    support_until_ = std::max(
        support_until_,
        lease::LatestEnd(options_, leader_time_received_, options_.support));
  }
  out.push_back(SendRenewAction{*to, std::move(request)});
}

// Returns the next host to ask for the leader. Members and seeds are asked in
// turn.
std::optional<HostInfo> Member::NextContact() {
  std::vector<HostInfo> contacts;
  for (const auto& [id, member] : replica_.state().members) {
    if (member.host.peer_address != self_.peer_address) {
      contacts.push_back(member.host);
    }
  }
  for (const HostInfo& seed : seeds_) {
    if (seed.peer_address != self_.peer_address) {
      contacts.push_back(seed);
    }
  }
  if (contacts.empty()) {
    return std::nullopt;
  }
  return contacts[next_contact_++ % contacts.size()];
}

void Member::StartCandidacy(TimePoint now, Actions& out) {
  highest_ballot_number_ = std::max({highest_ballot_number_, promised_.number,
                                     replica_.state().ballot.number}) +
                           1;
  candidacy_ = Candidacy{.ballot = {highest_ballot_number_, self_.id},
                         .granted = {self_.id},
                         .latest_leader_state = replica_.leader_state(),
                         .latest_leader_state_from = self_,
                         .started = now};
  ClearLeader();
  const VoteRequest request = {
      .host = self_,
      .membership_offset = replica_.state().membership_offset,
      .voters_changed = replica_.state().voters_changed,
      .ballot = candidacy_->ballot,
  };
  for (const auto& [id, member] : replica_.state().members) {
    if (member.votes && id != self_.id) {
      out.push_back(SendVoteAction{member.host, request});
    }
  }
}

// Promises that were made in an earlier membership do not apply in a new one.
void Member::ResetOnNewMembership() {
  if (membership_offset_ == replica_.state().membership_offset) {
    return;
  }
  membership_offset_ = replica_.state().membership_offset;
  promised_ = Ballot{};
  highest_ballot_number_ = 0;
  pending_leader_state_.reset();
  ClearLeader();
  candidacy_.reset();
}

void Member::ContinueLeading(const Ballot& ballot,
                             TimePoint authority_until,
                             TimePoint lease_until) {
  is_leading_ = true;
  promised_ = std::max(promised_, ballot);
  leader_ = self_;
  authority_until_ = authority_until;
  lease_until_ = lease_until;
}

void Member::Campaign(TimePoint now, Actions& out) {
  if (IsEligible() && now >= support_until_) {
    StartCandidacy(now, out);
  }
}

void Member::StopLeading(TimePoint now) {
  is_leading_ = false;
  ClearLeader();
  last_contact_ = now;
}

}  // namespace toucandock::core::control
