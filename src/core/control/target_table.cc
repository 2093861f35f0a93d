#include "core/control/target_table.h"

#include <algorithm>

namespace toucandock::core::control {
namespace {

using detection::Observation;
using detection::ObservationKind;
using detection::ObservationSource;
using detection::TargetLiveness;

// A lost target must respond for this long before it may own units again, so
// that a target that repeatedly fails and recovers does not cause moves each
// time.
constexpr Duration kRecoveryPeriod = std::chrono::seconds(1);
// Recovered targets get a growing share of the units over this time.
constexpr Duration kWarmup = std::chrono::seconds(30);
constexpr double kColdWeight = 0.25;
// A grant or probe without a response is sent again after this time.
constexpr Duration kContactTimeout = std::chrono::milliseconds(250);
constexpr Duration kLostContactInterval = std::chrono::milliseconds(500);

ObservationKind KindOf(ContactResult result) {
  switch (result) {
    case ContactResult::kOk:
    case ContactResult::kRejected:
      return ObservationKind::kAlive;
    case ContactResult::kRefused:
      return ObservationKind::kRefused;
    case ContactResult::kTimeout:
      return ObservationKind::kTimeout;
  }
  return ObservationKind::kTimeout;
}

}  // namespace

TargetTable::TargetTable(const HostId& self,
                         const lease::LeaseOptions& options,
                         const Ballot& ballot,
                         TimePoint elected_at)
    : self_(self),
      options_(options),
      ballot_(ballot),
      elected_at_(elected_at),
      detector_(detection::LossDetectorOptions{}) {}

// Targets that were removed from the configuration stay known until their grant
// has ended.
void TargetTable::SetTargets(const config::Config& config) {
  ++revision_;
  next_due_ = TimePoint{};
  for (auto& [id, entry] : entries_) {
    entry.configured = false;
  }
  for (const config::ServiceConfig& service : config.services) {
    for (const config::TargetConfig& target : service.targets) {
      const auto [it, added] =
          entries_.try_emplace(config::MakeTargetId(service, target));
      Entry& entry = it->second;
      entry.address = target.address;
      entry.checks_fences = target.checks_fences;
      entry.configured = true;
      if (added) {
        // An earlier leader may have sent grants until its authority ended.
        entry.grant_ends =
            lease::LatestEnd(options_, elected_at_, options_.grant);
        entry.answered_at = elected_at_;
      }
    }
  }
}

void TargetTable::SetUnits(const Replica& replica) {
  std::map<TargetId, std::vector<UnitFence>> units;
  const auto add = [&](const Unit& unit) {
    const Assignment assignment = replica.AssignmentOf(unit);
    const UnitMove* move = replica.MoveOf(unit);
    if (!assignment.owner.empty() &&
        (move == nullptr || move->phase != MovePhase::kRevoking)) {
      units[assignment.owner].push_back({unit, assignment.fence});
    }
  };
  for (const auto& [unit, assignment] : replica.state().assignments) {
    add(unit);
  }
  for (const UnitMove& move : replica.leader_state().moves) {
    if (!replica.state().assignments.contains(move.unit)) {
      add(move.unit);
    }
  }
  for (auto& [id, entry] : entries_) {
    std::vector<UnitFence>& now_owned = units[id];
    std::sort(
        now_owned.begin(), now_owned.end(),
        [](const UnitFence& a, const UnitFence& b) { return a.unit < b.unit; });
    if (now_owned == entry.units) {
      continue;
    }
    entry.units = std::move(now_owned);
    ++entry.sequence;
    entry.revoked_sequence = entry.sequence;
    // The grant is sent at once, since a move waits for the response.
    entry.in_flight = false;
    entry.sent_at = TimePoint{};
    next_due_ = TimePoint{};
  }
}

void TargetTable::OnAnswer(Entry& entry,
                           const TargetAnswer& answer,
                           TimePoint now) {
  const bool alive = KindOf(answer.result) == ObservationKind::kAlive;
  if (!entry.contacted || alive != entry.alive_since.has_value()) {
    ++revision_;
  }
  entry.contacted = true;
  if (!alive) {
    entry.alive_since.reset();
    return;
  }
  entry.answered_at = now;
  if (!entry.alive_since) {
    entry.alive_since = now;
  }
  if (answer.instance != entry.instance) {
    // A new process has no grant, whatever its predecessor held.
    if (!entry.instance.empty()) {
      entry.grant_ends = now;
      entry.warming_since = now;
    }
    entry.instance = answer.instance;
  }
  entry.clock = answer.clock;
  entry.clock_read_at = now;
  if (entry.health != answer.health) {
    entry.health = answer.health;
    ++revision_;
  }
}

void TargetTable::OnGrantAnswer(const GrantAnswerEvent& event, TimePoint now) {
  const auto it = entries_.find(event.target);
  if (it == entries_.end()) {
    return;
  }
  Entry& entry = it->second;
  if (event.sequence == entry.sequence) {
    entry.in_flight = false;
  }
  detector_.Report({event.target, self_, ObservationSource::kGrant,
                    KindOf(event.answer.result)},
                   now);
  OnAnswer(entry, event.answer, now);
  if (event.answer.result == ContactResult::kOk) {
    entry.acked_sequence = std::max(entry.acked_sequence, event.sequence);
    detector_.Report({event.target, self_, ObservationSource::kLease,
                      ObservationKind::kAlive},
                     now);
  }
}

void TargetTable::OnProbeAnswer(const ProbeAnswerEvent& event, TimePoint now) {
  const auto it = entries_.find(event.target);
  if (it == entries_.end()) {
    return;
  }
  if (!it->second.checks_fences) {
    it->second.in_flight = false;
  }
  detector_.Report({event.target, self_, ObservationSource::kProbe,
                    KindOf(event.answer.result)},
                   now);
  OnAnswer(it->second, event.answer, now);
}

void TargetTable::OnObservation(const Observation& observation, TimePoint now) {
  if (entries_.contains(observation.target)) {
    detector_.Report(observation, now);
  }
}

// A target that is no longer listed counts as one failed observation only: the
// list lags behind and may be wrong.
void TargetTable::OnHostList(const HostListEvent& list, TimePoint now) {
  for (auto& [id, entry] : entries_) {
    const std::string& address = entry.address;
    const auto it = std::find_if(
        list.hosts.begin(), list.hosts.end(),
        [&address](const ListedHost& host) { return host.address == address; });
    const bool listed = it != list.hosts.end();
    if (listed || entry.listed) {
      detector_.Report(
          {id, self_, ObservationSource::kHostList,
           listed ? ObservationKind::kAlive : ObservationKind::kRefused},
          now);
    }
    entry.listed = entry.listed || listed;
    if (entry.listed_leaving != (listed && it->leaving)) {
      entry.listed_leaving = !entry.listed_leaving;
      ++revision_;
    }
  }
}

std::vector<TargetId> TargetTable::UpdateLiveness(size_t observers,
                                                  TimePoint now) {
  std::vector<TargetId> changed;
  for (auto& [id, entry] : entries_) {
    if (entry.checks_fences && entry.clock && entry.grant_ends <= now) {
      // No host can use the target until it gets a grant again.
      detector_.Report(
          {id, self_, ObservationSource::kLease, ObservationKind::kRefused},
          now);
    }
    const TargetLiveness liveness = detector_.LivenessOf(id, observers, now);
    if (!entry.lost && liveness == TargetLiveness::kLost) {
      entry.lost = true;
      entry.alive_since.reset();
      changed.push_back(id);
    } else if (entry.lost && liveness != TargetLiveness::kLost &&
               entry.alive_since &&
               now - *entry.alive_since >= kRecoveryPeriod) {
      entry.lost = false;
      entry.warming_since = now;
      changed.push_back(id);
    }
  }
  revision_ += changed.size();
  return changed;
}

void TargetTable::SendDue(TimePoint now, Actions& out) {
  if (now < next_due_) {
    return;
  }
  next_due_ = now + options_.renew_interval;
  for (auto& [id, entry] : entries_) {
    if (!entry.configured && entry.grant_ends <= now) {
      continue;
    }
    const Duration interval =
        entry.lost ? kLostContactInterval : options_.renew_interval;
    const Duration wait = entry.in_flight ? kContactTimeout : interval;
    if (now - entry.sent_at < wait) {
      next_due_ = std::min(next_due_, entry.sent_at + wait);
      continue;
    }
    entry.in_flight = true;
    entry.sent_at = now;
    if (entry.checks_fences) {
      SendGrant(id, entry, now, out);
    } else {
      out.push_back(SendProbeAction{id, entry.address});
    }
  }
}

void TargetTable::SendGrant(const TargetId& id,
                            Entry& entry,
                            TimePoint now,
                            Actions& out) {
  Grant grant = {.target = id,
                 .instance = entry.instance,
                 .ballot = ballot_,
                 .sequence = entry.sequence,
                 .units = entry.units};
  // Without a recent clock reading of this process, the grant is sent already
  // expired; the response contains a reading.
  const bool extends_grant =
      entry.clock && now - entry.clock_read_at < options_.grant && !entry.lost;
  if (extends_grant) {
    grant.expires_at = *entry.clock + options_.grant;
    entry.grant_ends = std::max(
        entry.grant_ends,
        lease::LatestEnd(options_, entry.clock_read_at, options_.grant));
  }
  out.push_back(SendGrantAction{entry.address, std::move(grant)});
}

// Returns whether this leader has any result from the target, successful or
// not.
bool TargetTable::WasContacted(const TargetId& target) const {
  const auto it = entries_.find(target);
  return it != entries_.end() && it->second.contacted;
}

// Returns whether the target may keep the units that it has.
bool TargetTable::MayOwn(const TargetId& target) const {
  const auto it = entries_.find(target);
  if (it == entries_.end()) {
    return false;
  }
  const Entry& entry = it->second;
  return entry.configured && !entry.lost && !entry.listed_leaving &&
         entry.health != TargetHealth::kDraining;
}

// Returns whether the target may get new units.
bool TargetTable::IsUsable(const TargetId& target) const {
  return MayOwn(target) && entries_.at(target).alive_since.has_value();
}

// Returns whether the target definitely rejects requests for the units that
// were last taken from it.
bool TargetTable::IsReleased(const TargetId& target, TimePoint now) const {
  const auto it = entries_.find(target);
  if (it == entries_.end()) {
    return now >= lease::LatestEnd(options_, elected_at_, options_.grant);
  }
  const Entry& entry = it->second;
  return !entry.checks_fences ||
         entry.acked_sequence >= entry.revoked_sequence ||
         entry.grant_ends <= now;
}

bool TargetTable::IsGranted(const TargetId& target,
                            const UnitFence& unit) const {
  const auto it = entries_.find(target);
  if (it == entries_.end()) {
    return false;
  }
  const Entry& entry = it->second;
  if (!entry.checks_fences) {
    return true;
  }
  return entry.acked_sequence == entry.sequence && entry.clock &&
         std::find(entry.units.begin(), entry.units.end(), unit) !=
             entry.units.end();
}

double TargetTable::WeightOf(const TargetId& target, TimePoint now) const {
  const auto it = entries_.find(target);
  if (it == entries_.end()) {
    return 0;
  }
  if (it->second.health == TargetHealth::kCold) {
    return kColdWeight;
  }
  if (!it->second.warming_since) {
    return 1;
  }
  const double progress =
      std::chrono::duration<double>(now - *it->second.warming_since) / kWarmup;
  // The weight rises in quarters, so that the share of units does not change on
  // every tick.
  return std::clamp(kColdWeight * static_cast<int>(1 + progress * 4),
                    kColdWeight, 1.0);
}

std::vector<TargetId> TargetTable::Suspects(size_t observers,
                                            TimePoint now) const {
  std::vector<TargetId> suspects;
  for (const auto& [id, entry] : entries_) {
    if (!entry.lost &&
        detector_.LivenessOf(id, observers, now) == TargetLiveness::kSuspect) {
      suspects.push_back(id);
    }
  }
  return suspects;
}

std::set<TargetId> TargetTable::lost() const {
  std::set<TargetId> result;
  for (const auto& [id, entry] : entries_) {
    if (entry.lost) {
      result.insert(id);
    }
  }
  return result;
}

std::set<TargetId> TargetTable::draining() const {
  std::set<TargetId> result;
  for (const auto& [id, entry] : entries_) {
    if (entry.listed_leaving || entry.health == TargetHealth::kDraining) {
      result.insert(id);
    }
  }
  return result;
}

std::set<TargetId> TargetTable::cold(TimePoint now) const {
  std::set<TargetId> result;
  for (const auto& [id, entry] : entries_) {
    if (WeightOf(id, now) < 1) {
      result.insert(id);
    }
  }
  return result;
}

}  // namespace toucandock::core::control
