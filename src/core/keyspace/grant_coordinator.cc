#include "core/keyspace/grant_coordinator.h"

#include <algorithm>
#include <utility>

namespace toucandock::core::keyspace {
namespace {

// Returns the lists over which the writer of a record and earlier ones may
// count, each once. A writer without a list does not act without the store.
std::vector<HostList> ListsOf(const OwnershipTable& table) {
  std::vector<HostList> lists = table.earlier_hosts;
  lists.push_back(table.hosts);
  std::sort(lists.begin(), lists.end());
  lists.erase(std::unique(lists.begin(), lists.end()), lists.end());
  std::erase_if(lists, [](const HostList& it) { return it.empty(); });
  return lists;
}

bool IsNotSent(CommandResult result) {
  return result == CommandResult::kNotSent || result == CommandResult::kRefused;
}

}  // namespace

absl::string_view ToString(CommandResult result) {
  switch (result) {
    case CommandResult::kDone:
      return "done";
    case CommandResult::kFenced:
      return "fenced";
    case CommandResult::kWrongTarget:
      return "wrong-target";
    case CommandResult::kNotSent:
      return "not-sent";
    case CommandResult::kRefused:
      return "refused";
    case CommandResult::kUnknown:
      return "unknown";
  }
  return "";
}

GrantCoordinator::GrantCoordinator(std::string service,
                                   std::string writer,
                                   std::string report_address,
                                   const CoordinatorOptions& options)
    : service_(std::move(service)),
      writer_(std::move(writer)),
      report_address_(std::move(report_address)),
      options_(options),
      evidence_(options.outage),
      samples_(options.samples) {}

void GrantCoordinator::OnLeadership(bool is_leader, TimePoint confirmed_at) {
  // A confirmation from before another process took over proves nothing.
  if (is_leader && confirmed_at <= successor_seen_at_) {
    return;
  }
  // If the lease has ended before this confirmation in the new era, another
  // host may have taken over in the meantime.
  if (is_leader && IsRechecking() && !CanRenew(confirmed_at)) {
    own_record_lapsed_ = true;
  }
  is_leader_ = is_leader;
  if (is_leader) {
    leadership_confirmed_at_ = confirmed_at;
    may_renew_ = true;
  }
}

void GrantCoordinator::OnEnd(Offset end) {
  if (EraOf(end) == era_) {
    end_ = std::max(end_.value_or(0), end);
  }
}

void GrantCoordinator::OnStoreEra(Era era, TimePoint now) {
  if (era <= era_) {
    return;
  }
  era_ = era;
  end_ = std::nullopt;
  // The group went back as well, so the store may have chosen another leader.
  is_leader_ = false;
  if (!ActsOnOwnRecord()) {
    return;
  }
  if (!CanRenew(now) || committed_->holders_unknown) {
    own_record_lapsed_ = true;
    UpdateOutage();
    return;
  }
  recheck_from_ = now + options_.move_lease;
  for (RangeState& it : ranges_) {
    it.rechecked = false;
  }
}

void GrantCoordinator::OnTable(const OwnershipTable& table, TimePoint now) {
  OnStoreEra(EraOf(table.offset), now);
  OnEnd(table.offset + 1);
  if (table.service != service_ ||
      (committed_ && table.offset <= committed_->offset)) {
    return;
  }
  // An own record of an earlier era that appears now may have been appended
  // after the restore, in place of a lost record of a successor.
  if (table.writer == writer_ && EraOf(table.offset) < era_) {
    return;
  }
  Adopt(table, now);
}

void GrantCoordinator::OnOlderRecord(Offset place) {
  OnEnd(place + 1);
  is_hidden_in_store_ =
      is_hidden_in_store_ ||
      (ActsOnOwnRecord() && !IsRechecking() && place > committed_->offset);
}

// The own record was not superseded, as far as this process knows.
bool GrantCoordinator::ActsOnOwnRecord() const {
  return committed_ && committed_->writer == writer_ && !own_record_lapsed_;
}

// This process goes on with a table of an earlier era, which it has to write
// again. Until then, it only renews the leases of the owners, with fences of
// that table: an owner whose keys a successor has moved refuses these.
bool GrantCoordinator::IsRechecking() const {
  return ActsOnOwnRecord() && EraOf(committed_->offset) < era_;
}

// Grants of leaders whose records are lost may not have ended yet.
bool GrantCoordinator::HasUnknownHolders(TimePoint now) const {
  return committed_->holders_unknown && now < inherited_until_;
}

void GrantCoordinator::OnTargets(std::vector<OwnerTarget> targets,
                                 TimePoint now) {
  if (targets_.empty() && !targets.empty()) {
    targets_known_since_ = now;
  }
  targets_ = std::move(targets);
  for (const OwnerTarget& it : targets_) {
    addresses_[it.instance] = it.address;
  }
  next_plan_ = std::min(next_plan_, now + options_.move_start_delay);
}

void GrantCoordinator::OnLoad(const LoadReport& report, TimePoint now) {
  samples_.Add(report, now);
}

// Leases are renewed until the record of a successor is read, even if the store
// has already chosen another leader, because that host may learn of it late.
bool GrantCoordinator::CanRenew(TimePoint now) const {
  return may_renew_ &&
         now < leadership_confirmed_at_ +
                   (IsOutage(now) ? options_.outage_leadership_lease
                                  : options_.leadership_lease);
}

void GrantCoordinator::OnStoreAnswered(TimePoint now) {
  store_answered_ = now;
  if (!store_up_since_) {
    store_up_since_ = now;
  }
}

void GrantCoordinator::OnHostReport(const HostReport& report, TimePoint now) {
  evidence_.OnReport(report, now);
  UpdateOutage();
  UpdateInheritedUntil();
}

// A record that was proposed may be on the store without this process knowing
// it. A successor would then count over its list.
void GrantCoordinator::UpdateOutage() {
  if (!ActsOnOwnRecord()) {
    outage_until_ = TimePoint{};
    return;
  }
  std::vector<HostList> lists = proposed_lists_;
  lists.push_back(committed_->hosts);
  outage_until_ = evidence_.OutageEnd(lists);
}

Duration GrantCoordinator::OutageGrantLease() const {
  return std::max(options_.grant_lease, options_.outage_grant_lease);
}

Duration GrantCoordinator::CurrentGrantLease(TimePoint now) const {
  return IsOutage(now) ? OutageGrantLease() : options_.grant_lease;
}

// Takes over from the writer of a record. Targets may hold keys because of
// grants of that writer and of its predecessors.
void GrantCoordinator::InheritFrom(const OwnershipTable& predecessor,
                                   TimePoint now) {
  inherited_lists_ = ListsOf(predecessor);
  own_store_up_since_ = store_up_since_.value_or(now);
  inherited_until_ = now + options_.outage_leadership_lease +
                     WithDrift(OutageGrantLease()) + options_.grant_timeout;
}

// Shortens the time for which grants of earlier leaders may last, as soon as
// enough hosts follow this one.
void GrantCoordinator::UpdateInheritedUntil() {
  if (!ActsOnOwnRecord()) {
    return;
  }
  const std::optional<TimePoint> since = evidence_.ExcludedSince(
      inherited_lists_, report_address_, own_store_up_since_);
  if (!since) {
    return;
  }
  // An earlier leader renews leases until its leadership lease ends, and may
  // have granted longer ones while reports of an outage were valid.
  const TimePoint usual_end = taken_over_at_ + options_.leadership_lease +
                              WithDrift(options_.grant_lease) +
                              options_.grant_timeout;
  const TimePoint outage_end = *since + options_.outage.report_lifetime +
                               WithDrift(OutageGrantLease()) +
                               options_.grant_timeout;
  inherited_until_ =
      std::min(inherited_until_, std::max(usual_end, outage_end));
}

bool GrantCoordinator::CanMove(TimePoint now) const {
  return is_leader_ && now >= moves_allowed_from_ &&
         now < leadership_confirmed_at_ + options_.move_lease;
}

// A kept connection leads to the same instance of the target as before. A new
// one may lead to a later instance that knows no fences, so grants of a
// successor must be ruled out: the leadership was confirmed after the last
// connection ended, and recently enough that the store cannot have chosen
// another leader since then, unless the store is unavailable.
bool GrantCoordinator::MayGrantTo(const Contact& contact, TimePoint now) const {
  if (contact.grant_in_flight != 0) {
    return false;
  }
  if (IsRechecking()) {
    return contact.connected;
  }
  return contact.connected ||
         (leadership_confirmed_at_ > contact.unconnected_since &&
          (now < leadership_confirmed_at_ + options_.move_lease ||
           IsOutage(now)));
}

bool GrantCoordinator::IsActive(TimePoint now) const {
  return CanRenew(now) && ActsOnOwnRecord();
}

// Takes the newest record as the state to act on. Keeps the progress of ranges
// that the record does not change.
void GrantCoordinator::Adopt(const OwnershipTable& table, TimePoint now) {
  const bool is_own_record = table.writer == writer_;
  const bool was_own_record = ActsOnOwnRecord();
  const bool ends_recheck = is_own_record && IsRechecking();
  std::vector<RangeState> next;
  for (const Assignment& it : table.assignments) {
    RangeState state{.assignment = it,
                     .first_command_at = now + options_.move_start_delay};
    // After a recheck, the ranges that are not served are those whose holders
    // are not known.
    const bool inherits =
        !(is_own_record && was_own_record) || (ends_recheck && !it.serving);
    const RangeState* before = nullptr;
    if (!inherits) {
      for (const RangeState& old : ranges_) {
        if (old.assignment.keys.first <= it.keys.first &&
            it.keys.last <= old.assignment.keys.last &&
            old.assignment.owner == it.owner) {
          before = &old;
        }
      }
    }
    if (before != nullptr && before->assignment.keys == it.keys) {
      state = *before;
      state.assignment = it;
    } else if (before != nullptr) {
      state.next_grant = before->next_grant;
      state.granted = before->granted;
    }
    if (it.previous.empty()) {
      state.pending_releases.clear();
    } else if (state.pending_releases.empty()) {
      std::vector<TargetInstance> holders = it.previous;
      // The new owner may already hold the keys because of a grant by the
      // previous leader or as part of another range.
      const bool owner_may_hold =
          inherits || EndOf(EarlierHold(it.keys, it.owner)) > now;
      if (owner_may_hold && !it.serving &&
          std::find(holders.begin(), holders.end(), it.owner) ==
              holders.end()) {
        holders.push_back(it.owner);
      }
      for (const TargetInstance& holder : holders) {
        state.pending_releases.push_back(
            {.target = holder,
             .stage = holders.size() > 1 ? ReleaseStage::kQuiesce
                                         : ReleaseStage::kRaiseFence});
      }
    }
    // This process may have granted the keys as well if it was the leader.
    const auto hold_of = [&](const TargetInstance& target) {
      Hold hold = was_own_record ? EarlierHold(it.keys, target) : Hold{};
      hold.inherited = hold.inherited || inherits;
      return hold;
    };
    state.hold = hold_of(it.owner);
    for (PendingRelease& pending_release : state.pending_releases) {
      pending_release.hold = hold_of(pending_release.target);
    }
    next.push_back(std::move(state));
  }
  ranges_ = std::move(next);
  if (is_own_record && !was_own_record && committed_) {
    moves_allowed_from_ = now + options_.move_lease + options_.grant_timeout;
  }
  if (is_own_record && (!was_own_record || ends_recheck)) {
    InheritFrom(committed_.value_or(OwnershipTable{}), now);
    evidence_.OnTakeover(table.offset);
    taken_over_at_ = now;
  }
  committed_ = table;
  own_record_lapsed_ = false;
  is_hidden_in_store_ = false;
  proposed_lists_.clear();
  fence_count_ = 0;
  if (!is_own_record) {
    commands_.clear();
  }
  if (is_own_record && !was_own_record) {
    contacts_.clear();
    heard_since_ = now;
  }
  if (!is_own_record && was_own_record) {
    is_leader_ = false;
    may_renew_ = false;
    successor_seen_at_ = now;
  }
  UpdateOutage();
  UpdateInheritedUntil();
}

Duration GrantCoordinator::WithDrift(Duration lease) const {
  return lease +
         std::chrono::duration_cast<Duration>(lease * options_.clock_drift);
}

Fence GrantCoordinator::NextFence() {
  return FenceBase(committed_->offset) + ++fence_count_;
}

std::uint64_t GrantCoordinator::NewCommand(PendingCommand pending_command) {
  commands_.emplace(++command_count_, pending_command);
  return command_count_;
}

TimePoint GrantCoordinator::EndOf(const Hold& hold) const {
  return hold.inherited ? std::max(hold.until, inherited_until_) : hold.until;
}

// Returns until when a target may hold any of the keys, according to the state
// before a new record is adopted.
GrantCoordinator::Hold GrantCoordinator::EarlierHold(
    const KeyRange& keys,
    const TargetInstance& target) const {
  Hold hold;
  const auto join = [&hold](const Hold& it) {
    hold.until = std::max(hold.until, it.until);
    hold.inherited = hold.inherited || it.inherited;
  };
  for (const RangeState& it : ranges_) {
    if (it.assignment.keys.last < keys.first ||
        keys.last < it.assignment.keys.first) {
      continue;
    }
    if (it.assignment.owner == target) {
      join(it.hold);
    }
    for (const PendingRelease& pending_release : it.pending_releases) {
      if (pending_release.target == target &&
          pending_release.stage != ReleaseStage::kDone) {
        join(pending_release.hold);
      }
    }
  }
  return hold;
}

GrantCoordinator::Contact& GrantCoordinator::ContactOf(
    const TargetInstance& target) {
  return contacts_
      .try_emplace(target, Contact{.unconnected_since = taken_over_at_})
      .first->second;
}

GrantCoordinator::RangeState* GrantCoordinator::FindRange(
    const KeyRange& keys) {
  for (RangeState& it : ranges_) {
    if (it.assignment.keys == keys) {
      return &it;
    }
  }
  return nullptr;
}

const OwnerTarget* GrantCoordinator::FindTarget(
    const TargetInstance& target) const {
  for (const OwnerTarget& it : targets_) {
    if (it.instance == target) {
      return &it;
    }
  }
  return nullptr;
}

// A later instance with the same id proves that the earlier process has ended.
// If it has the same address, however, it may have received a grant that was
// meant for the earlier instance. A refused or reset connection proves nothing,
// since it may come from the path to a process that still holds its keys.
bool GrantCoordinator::HasCertainlyEnded(const TargetInstance& target) const {
  if (replaced_targets_.contains(target)) {
    return true;
  }
  const auto known = addresses_.find(target);
  if (known == addresses_.end()) {
    return false;
  }
  for (const OwnerTarget& it : targets_) {
    if (it.instance.id == target.id &&
        it.instance.start_time_ms > target.start_time_ms &&
        it.address != known->second) {
      return true;
    }
  }
  return false;
}

bool GrantCoordinator::IsUnreachable(const TargetInstance& target,
                                     TimePoint now) const {
  if (replaced_targets_.contains(target)) {
    return true;
  }
  const auto it = contacts_.find(target);
  return it != contacts_.end() && it->second.failures >= 2 &&
         it->second.failing_since != TimePoint{} &&
         now - it->second.failing_since >= options_.unreachable_after &&
         now - it->second.last_failure < options_.unreachable_retry_after;
}

void GrantCoordinator::OnCommandResponse(
    const CommandResponse& command_response,
    TimePoint now) {
  const auto found = commands_.find(command_response.id);
  if (found == commands_.end()) {
    return;
  }
  const PendingCommand pending_command = found->second;
  commands_.erase(found);
  if (command_response.result == CommandResult::kWrongTarget) {
    replaced_targets_.insert(pending_command.target);
  }
  const bool is_grant =
      pending_command.kind == PendingCommand::Kind::kGrant ||
      pending_command.kind == PendingCommand::Kind::kRaiseFence;
  Contact& contact = ContactOf(pending_command.target);
  if (contact.grant_in_flight == command_response.id) {
    contact.grant_in_flight = 0;
  }
  const bool reached = command_response.result == CommandResult::kDone ||
                       command_response.result == CommandResult::kFenced;
  const bool was_not_sent = IsNotSent(command_response.result);
  if (reached) {
    contact.failing_since = TimePoint{};
    contact.failures = 0;
    // Releases use separate connections, so a response to one says nothing
    // about the connection for grants.
    contact.connected = contact.connected || is_grant;
  } else if (pending_command.kept_connection_only && was_not_sent) {
    contact.connected = false;
    contact.unconnected_since = now;
  } else if (is_grant) {
    contact.connected = false;
    contact.unconnected_since = now;
    contact.failures++;
    contact.last_failure = now;
    if (contact.failing_since == TimePoint{}) {
      contact.failing_since = pending_command.sent;
    }
  }
  RangeState* range = FindRange(pending_command.keys);
  if (range == nullptr) {
    return;
  }
  if (pending_command.kind == PendingCommand::Kind::kGrant) {
    if (range->command_id != command_response.id) {
      return;
    }
    range->command_id = 0;
    if (command_response.result == CommandResult::kDone) {
      range->granted = true;
      range->rechecked =
          range->rechecked || pending_command.sent >= recheck_from_;
      // The hold stays: it was raised when the grant was sent, and a
      // shorter grant does not end the hold of an earlier, longer one.
      range->handover.clear();
      range->next_grant = pending_command.sent + options_.renew_interval;
    } else {
      range->next_grant = now + options_.grant_retry_interval;
      if (was_not_sent) {
        range->hold.until = range->held_before_command;
      }
    }
    return;
  }
  for (PendingRelease& it : range->pending_releases) {
    if (it.target != pending_command.target ||
        it.command_id != command_response.id) {
      continue;
    }
    it.command_id = 0;
    it.next_try = now + options_.grant_retry_interval;
    if (pending_command.kind == PendingCommand::Kind::kRaiseFence) {
      if (command_response.result == CommandResult::kDone) {
        it.fence_raised = true;
        it.stage = ReleaseStage::kRelease;
        it.next_try = now;
        continue;
      }
      if (was_not_sent) {
        it.hold.until = it.held_before_command;
      }
      if (it.raise_count >= options_.max_fence_raises) {
        it.stage = ReleaseStage::kRelease;
      }
    } else if (command_response.result == CommandResult::kDone) {
      if (!command_response.handover.empty()) {
        range->handover = command_response.handover;
      }
      if (pending_command.kind == PendingCommand::Kind::kQuiesce) {
        it.stage = ReleaseStage::kRaiseFence;
        it.next_try = now;
        continue;
      }
      // Unless the fence was raised, an older grant could still arrive at the
      // target, so the release is repeated later.
      if (it.fence_raised) {
        it.stage = ReleaseStage::kDone;
      } else {
        it.next_try = now + options_.release_timeout;
      }
    }
  }
}

// Returns whether the keys may be granted to this target once more, with a
// higher fence, because no other target can hold them.
bool GrantCoordinator::MayRaiseFence(
    const RangeState& range,
    const PendingRelease& pending_release) const {
  bool is_first = true;
  for (const PendingRelease& it : range.pending_releases) {
    if (&it == &pending_release) {
      if (!is_first) {
        return false;
      }
      continue;
    }
    if (it.stage == ReleaseStage::kQuiesce ||
        it.stage == ReleaseStage::kRelease) {
      return false;
    }
    is_first = is_first && it.stage == ReleaseStage::kDone;
  }
  return true;
}

void GrantCoordinator::ReleasePreviousOwners(RangeState& range,
                                             TimePoint now,
                                             std::vector<Action>& out) {
  for (PendingRelease& it : range.pending_releases) {
    if (it.stage == ReleaseStage::kDone) {
      continue;
    }
    if (HasCertainlyEnded(it.target) || now >= EndOf(it.hold)) {
      it.stage = ReleaseStage::kDone;
      continue;
    }
    if (it.command_id != 0 ||
        now < std::max(it.next_try, range.first_command_at)) {
      continue;
    }
    if (it.stage == ReleaseStage::kRaiseFence &&
        IsUnreachable(it.target, now)) {
      it.stage = ReleaseStage::kRelease;
    }
    if (it.stage != ReleaseStage::kRaiseFence) {
      it.command_id = NewCommand({.keys = range.assignment.keys,
                                  .target = it.target,
                                  .kind = it.stage == ReleaseStage::kQuiesce
                                              ? PendingCommand::Kind::kQuiesce
                                              : PendingCommand::Kind::kRelease,
                                  .sent = now});
      out.push_back(ReleaseCommand{.id = it.command_id,
                                   .target = it.target,
                                   .keys = range.assignment.keys,
                                   .fence = NextFence(),
                                   .timeout = options_.release_timeout});
      continue;
    }
    Contact& contact = ContactOf(it.target);
    if (!MayRaiseFence(range, it) || !MayGrantTo(contact, now)) {
      continue;
    }
    it.raise_count++;
    it.command_id = NewCommand({.keys = range.assignment.keys,
                                .target = it.target,
                                .kind = PendingCommand::Kind::kRaiseFence,
                                .sent = now,
                                .lease = options_.fence_raise_lease,
                                .kept_connection_only = contact.connected});
    contact.grant_in_flight = it.command_id;
    it.held_before_command = it.hold.until;
    it.hold.until =
        std::max(it.hold.until, now + options_.grant_timeout +
                                    WithDrift(options_.fence_raise_lease));
    out.push_back(GrantCommand{.id = it.command_id,
                               .target = it.target,
                               .keys = range.assignment.keys,
                               .fence = NextFence(),
                               .lease = options_.fence_raise_lease,
                               .timeout = options_.grant_timeout,
                               .kept_connection_only = contact.connected});
  }
}

void GrantCoordinator::GrantRange(RangeState& range,
                                  TimePoint now,
                                  std::vector<Action>& out) {
  const Assignment& it = range.assignment;
  if (it.owner.id.empty() || range.command_id != 0 || now < range.next_grant) {
    return;
  }
  for (const PendingRelease& pending_release : range.pending_releases) {
    if (pending_release.stage != ReleaseStage::kDone) {
      return;
    }
  }
  Contact& contact = ContactOf(it.owner);
  if (!MayGrantTo(contact, now)) {
    return;
  }
  const Duration lease = CurrentGrantLease(now);
  range.command_id = NewCommand({.keys = it.keys,
                                 .target = it.owner,
                                 .kind = PendingCommand::Kind::kGrant,
                                 .sent = now,
                                 .lease = lease,
                                 .kept_connection_only = contact.connected});
  contact.grant_in_flight = range.command_id;
  range.held_before_command = range.hold.until;
  range.hold.until = std::max(range.hold.until,
                              now + options_.grant_timeout + WithDrift(lease));
  out.push_back(GrantCommand{.id = range.command_id,
                             .target = it.owner,
                             .keys = it.keys,
                             .fence = NextFence(),
                             .lease = lease,
                             .timeout = options_.grant_timeout,
                             .handover = range.handover,
                             .kept_connection_only = contact.connected});
}

void GrantCoordinator::NoteHosts(TimePoint now) {
  HostList hosts = evidence_.Hosts(now);
  if (hosts != heard_hosts_) {
    heard_hosts_ = std::move(hosts);
    heard_since_ = now;
  }
}

// The list in the record is kept while the hosts change, and until a new leader
// has heard from them.
bool GrantCoordinator::IsHostListDue(TimePoint now) const {
  return now - heard_since_ >= options_.host_list_delay &&
         (heard_hosts_ != committed_->hosts ||
          (!committed_->earlier_hosts.empty() && now >= inherited_until_));
}

void GrantCoordinator::Propose(std::vector<Assignment> assignments,
                               TimePoint now,
                               std::vector<Action>& out) {
  OwnershipTable table{.service = service_,
                       .writer = writer_,
                       .report_address = report_address_,
                       .offset = *end_,
                       .assignments = std::move(assignments)};
  if (ActsOnOwnRecord()) {
    table.hosts = IsHostListDue(now) ? heard_hosts_ : committed_->hosts;
    if (now < inherited_until_) {
      table.earlier_hosts = inherited_lists_;
    }
    if (IsRechecking()) {
      // A successor whose record is lost may count over these.
      for (HostList& it : ListsOf(*committed_)) {
        if (std::find(table.earlier_hosts.begin(), table.earlier_hosts.end(),
                      it) == table.earlier_hosts.end()) {
          table.earlier_hosts.push_back(std::move(it));
        }
      }
    }
    table.holders_unknown = HasUnknownHolders(now);
  } else if (committed_) {
    // Until this host has heard from others, it counts over those that its
    // predecessor knew, and the predecessor.
    table.hosts = committed_->hosts;
    table.hosts.push_back(committed_->report_address);
    std::erase(table.hosts, report_address_);
    std::sort(table.hosts.begin(), table.hosts.end());
    table.hosts.erase(std::unique(table.hosts.begin(), table.hosts.end()),
                      table.hosts.end());
    table.earlier_hosts = ListsOf(*committed_);
  }
  if (!ActsOnOwnRecord()) {
    table.holders_unknown = committed_ ? committed_->holders_unknown ||
                                             EraOf(committed_->offset) < era_
                                       : era_ > 0;
  }
  append_pending_ = true;
  if (std::find(proposed_lists_.begin(), proposed_lists_.end(), table.hosts) ==
      proposed_lists_.end()) {
    proposed_lists_.push_back(table.hosts);
  }
  UpdateOutage();
  out.push_back(AppendCommand{.table = std::move(table), .at = *end_});
}

// Returns whether a target is about to confirm that it takes or gives up keys.
bool GrantCoordinator::IsGrantDueSoon(const RangeState& range) {
  return range.command_id != 0 ||
         std::any_of(
             range.pending_releases.begin(), range.pending_releases.end(),
             [](const PendingRelease& it) { return it.command_id != 0; });
}

// Writes a record of the new owners that have confirmed their grants. Without
// delay if no other confirmation is due soon, since the record puts the keys
// back into service.
void GrantCoordinator::RecordGrantsIfDue(TimePoint now,
                                         std::vector<Action>& out) {
  bool changed = false;
  bool others_due = false;
  std::vector<Assignment> next;
  for (const RangeState& it : ranges_) {
    Assignment assignment = it.assignment;
    if (!assignment.serving) {
      if (it.granted) {
        assignment.serving = true;
        assignment.previous.clear();
        changed = true;
      } else {
        others_due = others_due || IsGrantDueSoon(it);
      }
    }
    next.push_back(std::move(assignment));
  }
  if (!changed) {
    first_unrecorded_ = TimePoint{};
    return;
  }
  if (first_unrecorded_ == TimePoint{}) {
    first_unrecorded_ = now;
  }
  if (!others_due || now - first_unrecorded_ >= options_.record_batch) {
    first_unrecorded_ = TimePoint{};
    Propose(MergeNeighbours(std::move(next)), now, out);
  }
}

void GrantCoordinator::PlanIfDue(TimePoint now, std::vector<Action>& out) {
  if (now < next_plan_ || append_pending_ || !CanMove(now) ||
      now - store_answered_ > options_.max_store_silence || targets_.empty()) {
    return;
  }
  const bool is_first = ranges_.size() == 1 &&
                        ranges_.front().assignment.owner == TargetInstance{};
  if (is_first && now - targets_known_since_ < options_.first_plan_wait) {
    return;
  }
  next_plan_ = now + options_.plan_interval;
  PlanInput input;
  for (const RangeState& it : ranges_) {
    input.assignments.push_back(it.assignment);
  }
  for (const OwnerTarget& it : targets_) {
    samples_.SetSlots(it.instance.id, it.slots);
  }
  input.mean_work_time = samples_.MeanWorkTime();
  size_t unreachable = 0;
  for (const OwnerTarget& it : targets_) {
    const bool lost = IsUnreachable(it.instance, now);
    unreachable += lost ? 1 : 0;
    if (it.draining || lost) {
      continue;
    }
    input.candidates.push_back(
        {.instance = it.instance,
         .capacity = it.slots *
                     samples_.SpeedOf(it.instance.id, input.mean_work_time) *
                     (it.cold && !it.cold_requests_per_second ? 0.5 : 1.0),
         .cold_requests_per_second =
             it.cold ? it.cold_requests_per_second : std::nullopt});
  }
  // If many targets do not respond, the network links of this host are the more
  // likely cause. Their leases are then left to expire or to be renewed by a
  // successor.
  if (unreachable * 3 > targets_.size() + 2) {
    return;
  }
  WeightedKeys sorted = samples_.Sorted(now);
  input.sampled_keys = std::move(sorted.keys);
  input.sample_weights = std::move(sorted.weights);
  input.sample_variances = std::move(sorted.variances);
  input.is_settling = samples_.IsSettling(now);
  input.busy_slots_per_sample = samples_.BusySlotsPerSample(now);
  std::optional<std::vector<Assignment>> plan =
      PlanRanges(input, options_.plan);
  if (plan) {
    Propose(std::move(*plan), now, out);
  }
}

// Renews the leases of the owners until they have confirmed that no successor
// has moved their keys, and writes the table again.
void GrantCoordinator::Recheck(TimePoint now, std::vector<Action>& out) {
  bool all_rechecked = true;
  for (RangeState& it : ranges_) {
    // During a move, a successor may have released the keys at the new owner
    // without raising the fence there.
    if (it.assignment.serving) {
      GrantRange(it, now, out);
    }
    all_rechecked = all_rechecked && it.rechecked;
  }
  if (append_pending_ || !is_leader_ || !end_ || now < recheck_from_ ||
      (!all_rechecked && now < recheck_from_ + options_.recheck_limit)) {
    return;
  }
  Propose(RecheckedAssignments(), now, out);
}

// Any target may hold the keys of an owner that has not confirmed its grant.
std::vector<Assignment> GrantCoordinator::RecheckedAssignments() const {
  std::set<TargetInstance> known;
  for (const OwnerTarget& it : targets_) {
    known.insert(it.instance);
  }
  for (const RangeState& it : ranges_) {
    known.insert(it.assignment.owner);
    known.insert(it.assignment.previous.begin(), it.assignment.previous.end());
  }
  known.erase(TargetInstance{});
  std::vector<Assignment> assignments;
  for (const RangeState& it : ranges_) {
    Assignment assignment = it.assignment;
    assignment.serving = it.rechecked;
    assignment.previous.clear();
    if (!it.rechecked) {
      assignment.previous.assign(known.begin(), known.end());
    }
    assignments.push_back(std::move(assignment));
  }
  return assignments;
}

void GrantCoordinator::ProposeUnchanged(TimePoint now,
                                        std::vector<Action>& out) {
  std::vector<Assignment> unchanged;
  for (const RangeState& it : ranges_) {
    unchanged.push_back(it.assignment);
  }
  Propose(std::move(unchanged), now, out);
}

// Returns the actions that are due. Called after each event and at short
// intervals.
std::vector<Action> GrantCoordinator::Tick(TimePoint now) {
  std::vector<Action> out;
  if (!CanRenew(now)) {
    return out;
  }
  if (IsRechecking()) {
    Recheck(now, out);
    return out;
  }
  if (!end_) {
    return out;
  }
  if (!ActsOnOwnRecord()) {
    if (append_pending_ || !is_leader_) {
      return out;
    }
    // By writing its own record, this process gets fences above all earlier
    // ones and tells the other hosts its address. The first record names no
    // owners yet.
    Propose(committed_ ? committed_->assignments
                       : std::vector<Assignment>{Assignment{}},
            now, out);
    return out;
  }
  NoteHosts(now);
  if (is_hidden_in_store_ && is_leader_ && !append_pending_) {
    ProposeUnchanged(now, out);
  }
  if (HasUnknownHolders(now)) {
    return out;
  }
  const bool can_move = CanMove(now);
  for (RangeState& it : ranges_) {
    if (can_move) {
      ReleasePreviousOwners(it, now, out);
    }
    // Renewing the lease of an owner that already serves its keys changes no
    // owner.
    if (can_move || (it.assignment.serving && !committed_->holders_unknown)) {
      GrantRange(it, now, out);
    }
  }
  if (!append_pending_ && is_leader_) {
    RecordGrantsIfDue(now, out);
  }
  PlanIfDue(now, out);
  if (!append_pending_ && can_move &&
      (IsHostListDue(now) || committed_->holders_unknown)) {
    ProposeUnchanged(now, out);
  }
  return out;
}

}  // namespace toucandock::core::keyspace
