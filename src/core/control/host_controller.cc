#include "core/control/host_controller.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace toucandock::core::control {
namespace {

// The log counts as readable for this long after a successful read.
constexpr Duration kLogReadValidity = std::chrono::seconds(2);
// A host list that is older says nothing about hosts that are missing from it.
constexpr Duration kHostListValidity = std::chrono::seconds(10);
// Time without a leader after which hosts may create a new membership.
constexpr Duration kNewMembershipAfter = std::chrono::seconds(3);
// A host that has had no lease for this long applies log entries without
// waiting for a leader state.
constexpr Duration kApplyAloneAfter = std::chrono::seconds(1);

}  // namespace

HostController::HostController(ControllerOptions options, ControlHooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      replica_(hooks_),
      member_(options_.self, options_.lease_options, options_.seeds, replica_) {
}

// Handles one event. All work is done on the calling thread.
Actions HostController::Handle(const Event& event, TimePoint now) {
  now_ = now;
  out_.clear();
  const std::uint64_t version = replica_.config_version();
  std::visit([this](const auto& it) { On(it); }, event);
  Step();
  FillProbeAddresses();
  ReportConfig(version);
  return std::exchange(out_, {});
}

void HostController::On(const TickEvent& event) {
  member_.OnTick(event, now_);
}

void HostController::On(const LogReadEvent& event) {
  log_read_at_ = now_;
  log_read_sent_at_ = std::max(log_read_sent_at_, event.sent_at);
  log_truncated_ = log_truncated_ || event.first_retained > 0;
  if (!replica_.AddEntries(event)) {
    // Retention has removed records that this host needs, and the read
    // contained no checkpoint.
    return;
  }
  writer_.OnLogRead(event, now_, out_);
  if (leader_) {
    leader_->OnLogRead(event, now_, out_);
    return;
  }
  const bool no_leader_state = replica_.leader_state().membership_offset !=
                                   replica_.state().membership_offset ||
                               replica_.leader_state().ballot == Ballot{};
  if (no_leader_state || now_ - member_.lease_until() > kApplyAloneAfter) {
    replica_.ApplyAll();
  }
}

void HostController::On(const LogFailedEvent&) {
  writer_.OnLogFailed();
  if (leader_) {
    leader_->OnLogFailed();
  }
}

void HostController::On(const AppendResultEvent& event) {
  writer_.OnAppendResult(event, now_);
  if (leader_) {
    leader_->OnAppendResult(event, now_);
  }
}

void HostController::On(const RenewRequestEvent& event) {
  RenewReply reply;
  if (leader_) {
    reply = leader_->OnRenew(event.request, now_);
  } else {
    reply.host = options_.self.id;
    reply.resigned = stopping_;
    reply.leader = member_.leader();
  }
  out_.push_back(ReplyRenewAction{event.token, std::move(reply)});
}

void HostController::On(const RenewReplyEvent& event) {
  if (!event.reply) {
    unreachable_since_.try_emplace(event.from, now_);
  } else {
    unreachable_since_.erase(event.from);
    if (!event.from.empty() && event.reply->host != event.from) {
      replaced_hosts_.insert(event.from);
    }
  }
  member_.OnRenewReply(event, now_, out_);
}

void HostController::On(const VoteRequestEvent& event) {
  const VoteReply reply = member_.OnVoteRequest(event.request, now_);
  if (reply.granted && leader_) {
    Resign("another host asked for votes after this one lost authority");
  }
  out_.push_back(ReplyVoteAction{event.token, reply});
}

void HostController::On(const VoteReplyEvent& event) {
  member_.OnVoteReply(event);
}

void HostController::On(const StateRequestEvent& event) {
  out_.push_back(ReplyStateAction{
      event.token,
      StateReply{std::make_shared<const ControlState>(replica_.state()),
                 replica_.leader_state()}});
}

void HostController::On(const StateReplyEvent& event) {
  if (event.reply && !leader_) {
    replica_.InstallState(*event.reply);
    out_.push_back(PublishViewAction{});
  }
}

void HostController::On(const NotifyEvent&) {
  member_.OnNotify();
}

void HostController::On(const GrantAnswerEvent& event) {
  if (leader_) {
    leader_->OnGrantAnswer(event, now_);
  }
}

void HostController::On(const ProbeAnswerEvent& event) {
  if (leader_) {
    leader_->OnProbeAnswer(event, now_);
    return;
  }
  using detection::ObservationKind;
  const ContactResult result = event.answer.result;
  const ObservationKind kind =
      result == ContactResult::kRefused   ? ObservationKind::kRefused
      : result == ContactResult::kTimeout ? ObservationKind::kTimeout
                                          : ObservationKind::kAlive;
  member_.AddObservation({event.target, options_.self.id,
                          detection::ObservationSource::kProbe, kind});
}

void HostController::On(const TrafficObservationEvent& event) {
  const detection::Observation observation = {
      event.target, options_.self.id, detection::ObservationSource::kTraffic,
      event.kind};
  if (leader_) {
    leader_->OnObservation(observation, now_);
  } else {
    member_.AddObservation(observation);
  }
}

void HostController::On(const HostListEvent& event) {
  listed_ = event.hosts;
  listed_at_ = now_;
  if (leader_) {
    leader_->OnHostList(event, now_);
  }
}

void HostController::On(const StopEvent&) {
  stopping_ = true;
  member_.SetLeaving();
  if (leader_) {
    Resign("planned stop");
  }
}

void HostController::Step() {
  StepLeader();
  if (const std::optional<LeaderState> won = member_.Step(now_, out_);
      won && MayBecomeLeader()) {
    BecomeLeader(*won);
  }
  const bool lost = !leader_ && now_ >= member_.lease_until();
  if (!lost) {
    leader_lost_since_.reset();
  } else if (!leader_lost_since_) {
    leader_lost_since_ = now_;
  }
  WriteOwnRecord();
}

void HostController::StepLeader() {
  if (leader_ && leader_->HasLostQuorum(now_)) {
    Resign("no majority of the voters has supported it");
  }
  if (!leader_) {
    return;
  }
  leader_->OnOwnAck(member_.acked_sequence(), member_.busy(), now_);
  leader_->OnRates(options_.self.id, member_.TakeRates(), now_);
  leader_->Step(now_, out_);
  if (leader_->IsSuperseded()) {
    Resign("there is a later leader");
  } else if (leader_->HasMemberWithoutSupport(now_)) {
    Resign("a member follows only a higher ballot");
    member_.Campaign(now_, out_);
  } else {
    member_.ContinueLeading(leader_->ballot(), leader_->authority_until(),
                            leader_->own_lease_until());
  }
}

// No other host can tell the only voter of a fleet that a new membership was
// created while it was paused. So it has to read the log again before it leads
// again.
bool HostController::MayBecomeLeader() const {
  return Voters(replica_.state()).size() > 1 || !stopped_leading_at_ ||
         log_read_sent_at_ > *stopped_leading_at_;
}

void HostController::BecomeLeader(const LeaderState& inherited) {
  replica_.ApplyAll();
  leader_.emplace(options_.self, options_.lease_options, hooks_, replica_,
                  member_.promised(), inherited, now_);
  member_.ContinueLeading(member_.promised(), now_, now_);
  out_.push_back(DecisionAction{
      absl::StrCat("host ", options_.self.id, " is the leader, ballot ",
                   member_.promised().number),
      "elected by a majority of the voters"});
}

void HostController::Resign(const std::string& cause) {
  out_.push_back(DecisionAction{
      absl::StrCat("host ", options_.self.id, " is no longer the leader"),
      cause});
  leader_.reset();
  stopped_leading_at_ = now_;
  member_.StopLeading(now_);
}

bool HostController::IsLogReadable() const {
  return log_read_at_ && now_ - *log_read_at_ < kLogReadValidity;
}

// Writes the records that any host may write: its own join or leave, and the
// creation of a new membership.
void HostController::WriteOwnRecord() {
  if (!writer_.idle() || !IsLogReadable()) {
    return;
  }
  const ControlState& state = replica_.state();
  std::optional<RecordBody> body;
  const auto own = state.members.find(options_.self.id);
  if (stopping_) {
    if (own != state.members.end() && !own->second.leaving) {
      body = LeaveRecord{options_.self.id};
    }
  } else if (own == state.members.end()) {
    if (MayJoin()) {
      body = JoinRecord{options_.self};
    }
  } else if (std::optional<NewMembershipRecord> new_membership =
                 NewMembership()) {
    body = *std::move(new_membership);
  }
  if (!body) {
    return;
  }
  writer_.Append(Record{.id = hooks_.new_record_id(),
                        .author = options_.self.id,
                        .ballot = state.ballot,
                        .previous_leader_record = state.last_leader_record,
                        .body = *std::move(body)},
                 now_, out_);
}

// A join without any known member creates a fleet. When retention has removed
// earlier records, a fleet may exist that these records would have shown, so
// the host first waits for a leader to appear.
bool HostController::MayJoin() const {
  return !replica_.state().members.empty() || !log_truncated_ ||
         (leader_lost_since_ &&
          now_ - *leader_lost_since_ >= kNewMembershipAfter);
}

// Returns the record that creates a new membership when the majority of the
// voters is permanently lost.
std::optional<NewMembershipRecord> HostController::NewMembership() const {
  if (!leader_lost_since_ || now_ - *leader_lost_since_ < kNewMembershipAfter ||
      replica_.state().next < replica_.log_end()) {
    return std::nullopt;
  }
  size_t lost_voters = 0;
  size_t voters = 0;
  NewMembershipRecord new_membership;
  new_membership.voters.push_back(options_.self);
  for (const auto& [id, member] : replica_.state().members) {
    if (!member.votes) {
      continue;
    }
    ++voters;
    if (IsPermanentlyLost(member.host)) {
      ++lost_voters;
    } else if (id != options_.self.id) {
      new_membership.voters.push_back(member.host);
    }
  }
  if (voters - lost_voters >= MajorityOf(voters)) {
    return std::nullopt;
  }
  return new_membership;
}

// A host is permanently lost when another process replies at its address, or
// when it does not reply and the platform no longer lists it either.
bool HostController::IsPermanentlyLost(const HostInfo& host) const {
  if (host.id == options_.self.id) {
    return false;
  }
  if (replaced_hosts_.contains(host.id) ||
      host.peer_address == options_.self.peer_address) {
    return true;
  }
  const auto it = unreachable_since_.find(host.id);
  const bool unreachable = it != unreachable_since_.end() &&
                           now_ - it->second >= kNewMembershipAfter;
  const bool list_is_recent =
      listed_at_ && now_ - *listed_at_ < kHostListValidity;
  const bool listed =
      std::any_of(listed_.begin(), listed_.end(), [&](const ListedHost& entry) {
        return entry.address == host.peer_address;
      });
  return unreachable && list_is_recent && !listed;
}

// Members name suspects by id only; the configuration has their addresses.
void HostController::FillProbeAddresses() {
  std::erase_if(out_, [this](Action& action) {
    auto* probe = std::get_if<SendProbeAction>(&action);
    if (probe == nullptr || !probe->address.empty()) {
      return false;
    }
    const size_t n = probe->target.find('/');
    if (n == std::string::npos || !replica_.config()) {
      return true;
    }
    const config::ServiceConfig* service =
        config::FindService(*replica_.config(), probe->target.substr(0, n));
    probe->address = probe->target.substr(n + 1);
    return service == nullptr;
  });
}

void HostController::ReportConfig(std::uint64_t version_before) {
  if (replica_.config_version() == version_before) {
    return;
  }
  out_.push_back(PublishViewAction{});
  out_.push_back(DecisionAction{
      absl::StrCat("configuration version ", replica_.config_version(),
                   " is in force on this host"),
      absl::StrCat("published by ", replica_.state().config_author)});
}

ControllerStatus HostController::Status(TimePoint now) const {
  const LeaderState& leader_state = replica_.leader_state();
  ControllerStatus status;
  status.host = options_.self.id;
  status.is_leader = leader_.has_value();
  status.leader = member_.leader() ? member_.leader()->id : "";
  status.has_lease = now < member_.lease_until();
  status.log_available = log_read_at_ && now - *log_read_at_ < kLogReadValidity;
  status.config_version = replica_.config_version();
  status.config_accepted = replica_.state().config_version;
  status.sequence = leader_state.sequence;
  status.log_next = replica_.log_end();
  status.members = replica_.state().members.size();
  status.voters = Voters(replica_.state()).size();
  status.moves_under_way = std::count_if(
      leader_state.moves.begin(), leader_state.moves.end(),
      [](const UnitMove& it) { return it.phase != MovePhase::kActive; });
  status.lost_targets.assign(leader_state.lost.begin(),
                             leader_state.lost.end());
  status.draining_targets.assign(leader_state.draining.begin(),
                                 leader_state.draining.end());
  return status;
}

}  // namespace toucandock::core::control
