#include "core/control/member.h"

#include <algorithm>
#include <utility>

namespace toucandock::core::control {
namespace {

// How long a host waits for its own log reader before it asks the decider.
constexpr Duration kLogLagLimit = std::chrono::milliseconds(200);

}  // namespace

Member::Member(const HostInfo& self,
               const lease::LeaseTerms& terms,
               std::vector<HostInfo> seeds,
               Replica& replica)
    : self_(self), terms_(terms), seeds_(std::move(seeds)), replica_(replica) {}

void Member::OnTick(const TickEvent& tick, TimePoint now) {
  if (last_contact_ == TimePoint{}) {
    last_contact_ = now;
  }
  oldest_sending_ = tick.oldest_sending;
  busy_ = tick.busy;
  if (!tick.rates.empty()) {
    rates_ = tick.rates;
  }
  UpdateAck();
}

std::map<std::string, placement::ServiceRates> Member::TakeRates() {
  return std::exchange(rates_, {});
}

// A directive is acknowledged once no request is still being sent that was
// routed under an earlier one.
void Member::UpdateAck() {
  acked_sequence_ = replica_.directive().sequence;
  if (oldest_sending_) {
    acked_sequence_ = std::min(acked_sequence_, *oldest_sending_);
  }
}

void Member::AddSignal(const detection::Signal& signal) {
  const auto key = std::make_pair(signal.target, signal.source);
  const bool bad = signal.kind != detection::SignalKind::kAlive;
  if (!bad && !signals_.contains(key)) {
    return;
  }
  signals_[key] = signal;
  renew_now_ = renew_now_ || bad;
}

void Member::SetLeaving() {
  leaving_ = true;
  renew_now_ = true;
}

void Member::OnRenewReply(const RenewReplyEvent& event,
                          TimePoint now,
                          Actions& out) {
  if (!event.reply || in_office_) {
    return;
  }
  const RenewReply& reply = *event.reply;
  if (!reply.accepted) {
    if (decider_ && decider_->id == event.from) {
      decider_.reset();
      echo_.reset();
    }
    if (!decider_ && reply.decider && reply.decider->id != self_.id) {
      decider_ = reply.decider;
      renew_now_ = true;
    }
    if (reply.resigned) {
      // The decider has no authority any more, so the promise to it is void.
      support_until_ = now;
      last_contact_ = now - terms_.election;
    }
    return;
  }
  if (reply.ballot < promised_) {
    return;
  }
  promised_ = reply.ballot;
  last_contact_ = now;
  echo_ = reply.stamp;
  if (reply.decider) {
    decider_ = reply.decider;
  }
  if (reply.directive &&
      reply.directive->Position() > replica_.directive().Position()) {
    if (!pending_) {
      pending_since_ = now;
    }
    pending_ = reply.directive;
    TryPendingDirective(now, out);
  }
  if (reply.lease && replica_.directive().ballot == reply.ballot) {
    lease_until_ = std::max(lease_until_, event.sent_at + terms_.serving);
  }
  for (const TargetId& target : reply.suspects) {
    // The address is filled in by the controller.
    out.push_back(SendProbeAction{.target = target, .address = ""});
  }
}

// Puts the directive in force once the log was read far enough. When the log
// lags, fetches the state from the decider instead.
void Member::TryPendingDirective(TimePoint now, Actions& out) {
  if (!pending_) {
    return;
  }
  if (replica_.Apply(*pending_)) {
    pending_.reset();
    renew_now_ = true;
    UpdateAck();
    out.push_back(PublishViewAction{});
  } else if (decider_ && now - pending_since_ >= kLogLagLimit) {
    pending_since_ = now;
    out.push_back(FetchStateAction{*decider_});
  }
}

// Grants a vote only when this host's support of another decider has ended and
// the candidate's membership is not older than this host's.
VoteReply Member::OnVoteRequest(const VoteRequest& request, TimePoint now) {
  ForgetOldMembership();
  VoteReply reply;
  const ControlState& state = replica_.state();
  const bool current = request.founded == state.founded &&
                       request.voters_changed >= state.voters_changed;
  const bool free = in_office_ ? now >= lease_until_ : now >= support_until_;
  if (current && free && request.ballot > promised_) {
    promised_ = request.ballot;
    decider_.reset();
    echo_.reset();
    last_contact_ = now;
    candidacy_.reset();
    reply.granted = true;
    reply.directive = replica_.directive();
  }
  reply.promised = promised_;
  return reply;
}

void Member::OnVoteReply(const VoteReplyEvent& event) {
  if (!candidacy_ || !event.reply || event.ballot != candidacy_->ballot) {
    return;
  }
  if (!event.reply->granted) {
    // Lets the next candidacy start above what the voter promised.
    promised_.number = std::max(promised_.number, event.reply->promised.number);
    return;
  }
  candidacy_->granted.insert(event.from);
  if (event.reply->directive.Position() > candidacy_->best.Position()) {
    candidacy_->best = event.reply->directive;
  }
}

std::optional<Directive> Member::Step(TimePoint now, Actions& out) {
  ForgetOldMembership();
  if (in_office_) {
    return std::nullopt;
  }
  TryPendingDirective(now, out);
  if (candidacy_) {
    const size_t needed = MajorityOf(Voters(replica_.state()).size());
    if (candidacy_->granted.size() >= needed) {
      return std::exchange(candidacy_, std::nullopt)->best;
    }
    if (now - candidacy_->started > terms_.election_step) {
      candidacy_.reset();
    }
  }
  if (renew_now_ || now - last_sent_ >= terms_.renew_interval) {
    SendRenewal(now, out);
  }
  if (!candidacy_ && IsEligible() && now >= support_until_ &&
      now - last_contact_ >= ElectionDelay()) {
    StartCandidacy(now, out);
  }
  return std::nullopt;
}

bool Member::IsEligible() const {
  const auto it = replica_.state().members.find(self_.id);
  return !leaving_ && it != replica_.state().members.end() &&
         it->second.votes && !it->second.leaving;
}

// A fleet's only voter has nobody to wait for.
Duration Member::ElectionDelay() const {
  const std::vector<HostId> voters = Voters(replica_.state());
  if (voters.size() == 1) {
    return Duration::zero();
  }
  const auto rank =
      std::lower_bound(voters.begin(), voters.end(), self_.id) - voters.begin();
  return terms_.election + terms_.election_step * rank;
}

void Member::SendRenewal(TimePoint now, Actions& out) {
  const std::optional<HostInfo> to = decider_ ? decider_ : NextContact();
  last_sent_ = now;
  renew_now_ = false;
  if (!to) {
    return;
  }
  RenewRequest request;
  request.host = self_;
  request.founded = replica_.state().founded;
  request.echo = decider_ ? echo_.value_or(Duration::zero()) : Duration::zero();
  request.ballot = replica_.directive().ballot;
  request.acked_sequence = acked_sequence_;
  request.config_version = replica_.config_version();
  request.busy = busy_;
  request.leaving = leaving_;
  if (decider_) {
    request.rates = TakeRates();
  }
  for (const auto& [key, signal] : signals_) {
    request.signals.push_back(signal);
  }
  std::erase_if(signals_, [](const auto& it) {
    return it.second.kind == detection::SignalKind::kAlive;
  });
  if (decider_) {
    // The decider counts this renewal from the echoed stamp, which is older
    // than now; so this promise lasts longer than the decider relies on it.
    support_until_ = std::max(
        support_until_,
        now + lease::WithDrift(terms_, terms_.support) + terms_.margin);
  }
  out.push_back(SendRenewAction{*to, std::move(request)});
}

// Without a known decider, asks members and seeds in turn who it is.
std::optional<HostInfo> Member::NextContact() {
  std::vector<HostInfo> contacts;
  for (const auto& [id, member] : replica_.state().members) {
    if (id != self_.id) {
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
  promised_ = Ballot{promised_.number + 1, self_.id};
  promised_.number =
      std::max(promised_.number, replica_.state().ballot.number + 1);
  candidacy_ = Candidacy{.ballot = promised_,
                         .granted = {self_.id},
                         .best = replica_.directive(),
                         .started = now};
  decider_.reset();
  echo_.reset();
  const VoteRequest request = {
      .host = self_,
      .founded = replica_.state().founded,
      .voters_changed = replica_.state().voters_changed,
      .ballot = promised_,
  };
  for (const auto& [id, member] : replica_.state().members) {
    if (member.votes && id != self_.id) {
      out.push_back(SendVoteAction{member.host, request});
    }
  }
}

// A new membership starts without any promise of the old one.
void Member::ForgetOldMembership() {
  if (founded_ == replica_.state().founded) {
    return;
  }
  founded_ = replica_.state().founded;
  promised_ = Ballot{};
  pending_.reset();
  decider_.reset();
  echo_.reset();
  candidacy_.reset();
}

void Member::HoldOffice(const Ballot& ballot, TimePoint authority_until) {
  in_office_ = true;
  promised_ = std::max(promised_, ballot);
  decider_ = self_;
  lease_until_ = authority_until;
}

void Member::LoseOffice(TimePoint now) {
  in_office_ = false;
  decider_.reset();
  echo_.reset();
  last_contact_ = now;
}

}  // namespace toucandock::core::control
