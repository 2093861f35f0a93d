#include "entry/control.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "entry/clock.h"
#include "entry/contained_exception.h"
#include "entry/event_log.h"
#include "entry/peer_json.h"
#include "entry/thread_lag.h"

namespace toucandock::entry {
namespace {

using boost::system::error_code;
using core::keyspace::CommandResponse;
using std::chrono::milliseconds;

constexpr core::keyspace::MembershipOptions kMembershipOptions;
// Spreads the renewals of hosts that started together.
constexpr int kMembershipSpreadMs = 100;
constexpr milliseconds kTickInterval{40};
// Spreads the reads of all hosts when the store is available again.
constexpr int kResumeSpreadMs = 150;
constexpr milliseconds kResolveRetry{300};
// A host that starts waits this long for another host to deliver the newest
// records, before it reads them from the store. When the whole fleet starts,
// its leader has to be found first, and there is no traffic yet.
constexpr milliseconds kNewestWait{500};
constexpr milliseconds kFleetStartWait{6'000};
// Maximum number of target addresses that are kept. Addresses of removed
// targets are among them, since commands may still have to be sent there.
constexpr size_t kMaxAddresses = 20'000;
// Key of the record about requests that crash targets. The record is kept in
// the ownership stream, which each host already reads itself or takes from a
// peer. No service has such a name.
constexpr char kPoisonKey[] = "/poison";
// Maximum number of unknown words of a configuration that are logged one by
// one.
constexpr size_t kMaxLoggedWords = 8;
// For this long after a restore of the store, a host that is chosen as the
// leader leaves leadership to the previous leader if that still responds. The
// previous leader renews its membership several times in this time.
constexpr milliseconds kYieldTime{5'000};
// The lease of a grant is at most this fraction of the longest lease that
// targets accept.
constexpr double kMaxLeaseFraction = 0.6;

core::keyspace::CoordinatorOptions CoordinatorOptionsFor(
    const EntrySettings& settings) {
  core::keyspace::CoordinatorOptions options;
  options.grant_lease = std::min<core::Duration>(
      options.grant_lease, std::chrono::duration_cast<core::Duration>(
                               settings.max_lease * kMaxLeaseFraction));
  options.renew_interval = options.grant_lease / 4;
  options.outage_grant_lease =
      std::min<core::Duration>(options.outage_grant_lease, settings.max_lease);
  return options;
}

core::relay::SourceOptions SourceOptionsFor(const EntrySettings& settings) {
  core::relay::SourceOptions options;
  options.fleet_starts = settings.fleet_starts;
  return options;
}

// Capacity for control messages, in units of the slowest hosts of the users.
double CapacityOf(const EntrySettings& settings) {
  constexpr double kSlowProcessors = 0.1;
  constexpr double kSlowLinkMbps = 10;
  return std::min(settings.processors / kSlowProcessors,
                  settings.link_mbps / kSlowLinkMbps);
}

template <typename Command>
void LogFailedCommand(const char* event,
                      const Command& command,
                      const CommandResponse& answer) {
  if (answer.result == core::keyspace::CommandResult::kDone) {
    return;
  }
  LogEvent(event, {{"target", command.target.id},
                   {"first", command.keys.first},
                   {"last", command.keys.last},
                   {"fence", command.fence},
                   {"result", ToString(answer.result)}});
}

std::string UniqueName(const std::string& host) {
  std::random_device device;
  return absl::StrCat(host, "/", getpid(), "/", absl::Hex(device()),
                      absl::Hex(device()));
}

}  // namespace

Control::Control(boost::asio::io_context& io,
                 const EntrySettings& settings,
                 const PlatformHooks& platform,
                 PublishView publish,
                 DeliverPermits deliver_permits,
                 PublishAdmitted publish_admitted)
    : io_(io),
      settings_(settings),
      platform_(platform),
      publish_(std::move(publish)),
      writer_(UniqueName(settings.host_name)),
      random_(std::random_device{}()),
      tick_timer_(io),
      membership_timer_(io),
      relay_(io,
             settings.ip,
             settings.report_port,
             followers_,
             SourceOptionsFor(settings),
             core::relay::FreshnessOptionsFor(settings.change_limit),
             {.failure_domain = settings.failure_domain,
              .capacity = CapacityOf(settings)},
             MakeRelayHooks()),
      poison_(PoisonControlOptions{}, MakePoisonHooks()),
      permit_link_(settings.warm_up,
                   core::warmup::IssuerOptions{},
                   MakePermitHooks(std::move(deliver_permits))),
      admission_(std::move(publish_admitted)),
      directory_(core::discovery::DirectoryOptions{}) {}

absl::Status Control::Start() {
  for (const Stream stream :
       {Stream::kConfig, Stream::kTargets, Stream::kOwnership}) {
    followers_[stream] = std::make_shared<StreamFollower>(
        io_, platform_, stream, FollowerOptions{}, FollowerHooksFor(stream));
  }
  if (absl::Status status = relay_.Start(); !status.ok()) {
    return status;
  }
  if (platform_.watch_store_era) {
    platform_.watch_store_era([this](const StoreEra& it) {
      odd_store_eras_ = it.odd_headers;
      OnStoreEra(it.era);
      MarkChanged();
    });
  }
  for (const auto& [stream, follower] : followers_) {
    // The owners name the leader, so they are read first.
    follower->Start(stream == Stream::kOwnership ? milliseconds(0)
                    : settings_.fleet_starts     ? kFleetStartWait
                                                 : kNewestWait);
  }
  RenewMembership();
  Tick();
  return absl::OkStatus();
}

FollowerHooks Control::FollowerHooksFor(Stream stream) {
  return {
      .on_newest =
          [this, stream](const ReadResult& result) {
            Contain("records", [&] { OnRecords(stream, result, true); });
          },
      .on_records =
          [this, stream](const ReadResult& result) {
            Contain("records", [&] { OnRecords(stream, result, false); });
          },
      .on_answer = [this] { OnStoreAnswer(); },
      .on_complete =
          [this, stream](core::TimePoint as_of) {
            relay_.NoteComplete(stream, as_of);
          },
      .on_history_lost = [this, stream] { relay_.NoteHistoryLost(stream); },
      .on_failure = [this] { OnStoreFailure(); },
  };
}

// `complete` means that the records are all that the stream holds, so that
// targets without a record can be removed.
void Control::OnRecords(Stream stream,
                        const ReadResult& result,
                        bool complete) {
  // A peer may have learned of a new era first.
  OnStoreEra(core::EraOf(result.end));
  relay_.NoteRecords(stream, result, complete);
  const core::TimePoint now = LeaseClockNow();
  switch (stream) {
    case Stream::kConfig:
      for (const StoredRecord& it : result.records) {
        Contain("config_record", [&] { OnConfigRecord(it); });
      }
      if (complete) {
        RetainEvacuations(result.records);
      }
      break;
    case Stream::kTargets: {
      std::vector<std::string> ids;
      size_t changed = 0;
      for (const StoredRecord& it : result.records) {
        Contain("target_record",
                [&] { changed += OnTargetRecord(it, complete) ? 1 : 0; });
        ids.push_back(it.key);
      }
      if (complete) {
        LogEvent("targets_listed", {{"targets", ids.size()},
                                    {"changed", changed},
                                    {"end", result.end}});
      }
      if (complete && directory_.RetainOnly(ids, now)) {
        MarkChanged();
      }
      OnTargetsChanged();
      break;
    }
    case Stream::kOwnership:
      ownership_end_ = std::max(ownership_end_, result.end);
      for (const StoredRecord& it : result.records) {
        Contain("ownership_record", [&] { OnOwnershipRecord(it); });
      }
      for (auto& [service, coordinator] : coordinators_) {
        coordinator->OnEnd(ownership_end_);
      }
      relay_.AskLeader();
      break;
  }
  was_read_[stream] = true;
  MarkChanged();
  RunCoordinators();
}

void Control::OnConfigRecord(const StoredRecord& record) {
  if (const auto domain = platform_.evacuated_domain(record.key)) {
    OnEvacuationRecord(*domain, record.removed);
    return;
  }
  if (record.key != platform_.config_key || record.removed) {
    return;
  }
  auto config = platform_.decode_config(record.value);
  if (!config.ok()) {
    LogEvent("config_unreadable",
             {{"offset", record.offset},
              {"cause", config.status().message()},
              {"version_in_force", routes_ ? routes_->config().version : 0}});
    return;
  }
  if (routes_ && config->version <= routes_->config().version) {
    return;
  }
  const auto age = relay_.AgeOf(Stream::kConfig);
  LogEvent("config_in_force",
           {{"version", config->version},
            {"source", relay_.SourceOf(Stream::kConfig)},
            // The version is at most this old.
            {"last_complete_ms_ago",
             age ? std::chrono::duration_cast<milliseconds>(*age).count() : -1},
            {"routes", config->routes.size()},
            {"unknown_words", config->unknown_words.size()},
            {"offset", record.offset}});
  for (size_t n = 0; n < config->unknown_words.size() && n < kMaxLoggedWords;
       ++n) {
    LogEvent("config_unknown_word", {{"version", config->version},
                                     {"word", config->unknown_words[n]}});
  }
  routes_ = std::make_shared<core::routing::RouteTable>(std::move(*config));
  SyncCoordinators();
}

// A domain without listed targets counts as well, since its targets may be
// listed later.
void Control::OnEvacuationRecord(const std::string& failure_domain,
                                 bool removed) {
  if (removed) {
    if (evacuations_.End(failure_domain)) {
      EndEvacuation(failure_domain);
    }
    return;
  }
  if (evacuations_.Begin(failure_domain, LeaseClockNow())) {
    LogEvent("evacuation_began", {{"failure_domain", failure_domain},
                                  {"targets", CountTargetsIn(failure_domain)},
                                  {"owners", CountEvacuatedOwners()}});
    OnTargetsChanged();
  }
}

// Ends the evacuations that a complete listing does not contain.
void Control::RetainEvacuations(const std::vector<StoredRecord>& listed) {
  std::vector<std::string> domains;
  for (const StoredRecord& it : listed) {
    if (auto domain = platform_.evacuated_domain(it.key);
        domain && !it.removed) {
      domains.push_back(*std::move(domain));
    }
  }
  for (const std::string& it :
       evacuations_.RetainOnly(domains, LeaseClockNow())) {
    EndEvacuation(it);
  }
}

void Control::EndEvacuation(const std::string& failure_domain) {
  LogEvent("evacuation_ended", {{"failure_domain", failure_domain},
                                {"targets", CountTargetsIn(failure_domain)}});
  OnTargetsChanged();
}

size_t Control::CountTargetsIn(const std::string& failure_domain) const {
  return static_cast<size_t>(
      std::count_if(directory_.targets().begin(), directory_.targets().end(),
                    [&](const auto& it) {
                      return it.second.entry.failure_domain == failure_domain;
                    }));
}

// Returns the number of targets in evacuated domains that own keys.
size_t Control::CountEvacuatedOwners() const {
  if (evacuations_.domains().empty()) {
    return 0;
  }
  std::set<core::discovery::TargetInstance> owners;
  for (const auto& [service, table] : tables_) {
    for (const core::keyspace::Assignment& it : table.assignments) {
      const auto listed = directory_.targets().find(it.owner.id);
      if (listed != directory_.targets().end() &&
          listed->second.entry.instance == it.owner &&
          evacuations_.Contains(listed->second.entry.failure_domain)) {
        owners.insert(it.owner);
      }
    }
  }
  return owners.size();
}

// Returns whether the record changed the targets. A complete listing is logged
// as a whole, since a large fleet would otherwise write a line for each host
// and target.
bool Control::OnTargetRecord(const StoredRecord& record, bool complete) {
  const core::TimePoint now = LeaseClockNow();
  if (record.removed) {
    if (directory_.Remove(record.key, now)) {
      LogEvent("target_gone",
               {{"target", record.key}, {"offset", record.offset}});
    }
    return false;
  }
  const auto entry = platform_.decode_target(record.key, record.value);
  if (!entry.ok()) {
    LogEvent("target_entry_unreadable", {{"target", record.key},
                                         {"offset", record.offset},
                                         {"cause", entry.status().message()}});
    return false;
  }
  if (addresses_.size() < kMaxAddresses) {
    addresses_[entry->instance] = entry->address;
  }
  const bool changed = directory_.Apply(*entry, now);
  if (changed && !complete) {
    LogEvent("target_entry",
             {{"target", entry->instance.id},
              {"born", entry->instance.start_time_ms},
              {"service", entry->service},
              {"address", entry->address},
              {"draining", entry->draining},
              {"cold_ms",
               std::chrono::duration_cast<milliseconds>(entry->warm_up_left)
                   .count()},
              {"sequence", entry->sequence},
              {"offset", record.offset}});
  }
  return changed;
}

void Control::OnOwnershipRecord(const StoredRecord& record) {
  if (record.removed) {
    return;
  }
  if (record.key == kPoisonKey) {
    poison_.OnRecord(record.value);
    return;
  }
  auto table = TableOf(record);
  if (!table.ok()) {
    LogEvent("ownership_unreadable",
             {{"offset", record.offset}, {"cause", table.status().message()}});
    OnOlderRecord(record);
    return;
  }
  core::keyspace::OwnershipTable& known = tables_[table->service];
  if (!known.assignments.empty() && table->offset <= known.offset) {
    if (table->offset < known.offset) {
      OnOlderRecord(record);
    }
    return;
  }
  LogEvent("ownership", {{"service", table->service},
                         {"offset", table->offset},
                         {"writer", table->writer},
                         {"ranges", table->assignments.size()}});
  known = *std::move(table);
  const auto it = coordinators_.find(known.service);
  if (it != coordinators_.end()) {
    it->second->OnTable(known, LeaseClockNow());
  }
}

// Without a restore, no record stands after a newer one.
void Control::OnOlderRecord(const StoredRecord& record) {
  const auto it = coordinators_.find(record.key);
  if (it != coordinators_.end() && core::EraOf(record.offset) > 0) {
    it->second->OnOlderRecord(record.offset);
  }
}

// The store has come back from a copy. What other programs wrote there is
// written again by them; until then, this host keeps what it knows.
void Control::OnStoreEra(core::Era era) {
  if (era <= store_era_) {
    return;
  }
  const core::TimePoint now = LeaseClockNow();
  LogEvent("store_era", {{"era", era},
                         {"previous", store_era_},
                         {"is_leader", is_leader_},
                         {"ownership_end", ownership_end_}});
  store_era_ = era;
  era_began_at_ = now;
  for (auto& [service, coordinator] : coordinators_) {
    coordinator->OnStoreEra(era, now);
  }
  evacuations_.OnStoreEra(now);
  // Entries that are missing are kept for as long as after an outage.
  directory_.OnStoreLost();
  if (!store_lost_) {
    directory_.OnStoreRecovered(now);
  }
  poison_.OnStoreEra();
  for (auto& [stream, follower] : followers_) {
    follower->OnStoreEra(era, follower->is_relayed()
                                  ? kNewestWait
                                  : milliseconds(random_() % kResumeSpreadMs));
  }
  if (!leaving_) {
    ScheduleMembership({});
  }
  MarkChanged();
}

void Control::OnStoreAnswer() {
  const core::TimePoint now = LeaseClockNow();
  for (auto& [service, coordinator] : coordinators_) {
    coordinator->OnStoreAnswered(now);
  }
  if (!store_up_since_) {
    store_up_since_ = now;
  }
  if (!store_lost_) {
    return;
  }
  store_lost_ = false;
  LogEvent("store_regained", {});
  directory_.OnStoreRecovered(now);
  for (auto& [stream, follower] : followers_) {
    follower->Restart(milliseconds(random_() % kResumeSpreadMs));
  }
}

void Control::OnStoreFailure() {
  for (auto& [service, coordinator] : coordinators_) {
    coordinator->OnStoreLost();
  }
  if (!store_lost_) {
    store_lost_ = true;
    store_up_since_ = std::nullopt;
    LogEvent("store_lost", {});
    directory_.OnStoreLost();
  }
}

void Control::RenewMembership() {
  const core::TimePoint requested_at = LeaseClockNow();
  const bool is_needed =
      is_leader_ || active_ || store_lost_ || relay_.NeedsMembership();
  if (std::exchange(is_member_, is_needed) != is_needed) {
    LogEvent("membership", {{"is_member", is_needed}});
    if (!is_needed) {
      member_hosts_ = 1;
      UpdateLiveHosts();
    }
  }
  if (!is_needed) {
    ScheduleMembership(kMembershipOptions.leader_interval);
    return;
  }
  platform_.renew_membership(
      std::chrono::duration_cast<milliseconds>(NextMembershipRenewal().ttl),
      [this, requested_at](const MembershipResult& result) {
        if (leaving_) {
          return;
        }
        const bool was_leader = is_leader_;
        Contain("membership",
                [&] { OnMembershipResult(result, requested_at); });
        // A new leader renews its membership without delay, since the time to
        // live of a leader applies from now on.
        ScheduleMembership(is_leader_ && !was_leader
                               ? core::Duration{}
                               : NextMembershipRenewal().interval);
      });
}

core::keyspace::MembershipRenewal Control::NextMembershipRenewal() const {
  return core::keyspace::NextRenewal(
      {.is_leader = is_leader_ || active_,
       .leader_reachable = relay_.IsLeaderReachable()},
      kMembershipOptions);
}

void Control::ScheduleMembership(core::Duration delay) {
  membership_timer_.expires_after(
      delay + milliseconds(random_() % kMembershipSpreadMs));
  membership_timer_.async_wait([this](const error_code& ec) {
    if (!ec) {
      RenewMembership();
    }
  });
}

void Control::OnMembershipResult(const MembershipResult& result,
                                 core::TimePoint requested_at) {
  if (result.status != StoreStatus::kOk) {
    OnStoreFailure();
    return;
  }
  OnStoreAnswer();
  member_hosts_ = result.live_hosts;
  UpdateLiveHosts();
  const bool yields =
      result.is_leader && ShouldYieldLeadership(LeaseClockNow());
  if (yields) {
    LogEvent("duty_yielded", {{"era", store_era_}});
    platform_.leave_membership();
  }
  const bool is_leader = result.is_leader && !yields;
  if (is_leader != is_leader_) {
    is_leader_ = is_leader;
    LogEvent(is_leader_ ? "duty_taken" : "duty_given_up", {});
  }
  for (auto& [service, coordinator] : coordinators_) {
    coordinator->OnLeadership(is_leader, requested_at);
  }
  permit_link_.OnLeadership(is_leader_, requested_at);
  RunCoordinators();
}

// After a restore, the group is as it was in the copy, or empty. The previous
// leader knows the newest owners and can go on at once; any other host has to
// wait until all leases have ended.
bool Control::ShouldYieldLeadership(core::TimePoint now) const {
  if (now - era_began_at_ >= kYieldTime || active_ ||
      !relay_.IsNewestWriterAlive()) {
    return false;
  }
  return std::any_of(tables_.begin(), tables_.end(), [this](const auto& it) {
    return it.second.writer != writer_ &&
           core::EraOf(it.second.offset) < store_era_;
  });
}

// Removes targets whose entries have expired and did not come back within the
// grace period.
void Control::ApplyExpirations() {
  if (directory_.Tick(LeaseClockNow())) {
    LogEvent("lapsed_targets_gone", {});
    OnTargetsChanged();
    MarkChanged();
  }
}

void Control::Tick() {
  Contain("tick", [this] {
    ApplyExpirations();
    if (next_warm_at_ && LeaseClockNow() >= *next_warm_at_) {
      OnTargetsChanged();
    }
    for (const std::string& it : evacuations_.Tick(LeaseClockNow())) {
      EndEvacuation(it);
    }
    RunCoordinators();
    permit_link_.Tick();
    UpdateAdmission();
    poison_.Tick(CurrentPoisonWriter());
  });
  tick_timer_.expires_after(is_leader_ ? kTickInterval : 5 * kTickInterval);
  tick_timer_.async_wait([this](const error_code& ec) {
    if (!ec) {
      ReportLateTimer("control", tick_timer_.expiry());
      Tick();
    }
  });
}

void Control::UpdateAdmission() {
  const core::TimePoint now = LeaseClockNow();
  std::vector<const core::keyspace::OwnershipTable*> led;
  for (const auto& [service, coordinator] : coordinators_) {
    const auto table = tables_.find(service);
    if (table != tables_.end() && table->second.writer == writer_ &&
        coordinator->IsActive(now)) {
      led.push_back(&table->second);
    }
  }
  admission_.Tick(led, now);
}

// The relays of a large fleet write for the hosts that use them: records of all
// hosts at once would delay the other records of the store for seconds.
PoisonWriter Control::CurrentPoisonWriter() const {
  if (is_leader_ && IsActive()) {
    return PoisonWriter::kLeader;
  }
  return is_member_ ? PoisonWriter::kSubstitute : PoisonWriter::kNone;
}

// Creates the coordinators that are missing. Each keyed service of the
// configuration has one.
void Control::SyncCoordinators() {
  for (const core::routing::RoutedService& it : routes_->config().services) {
    if (!it.keyed || coordinators_.contains(it.name)) {
      continue;
    }
    auto coordinator = std::make_unique<Coordinator>(
        it.name, writer_, relay_.address(), CoordinatorOptionsFor(settings_));
    const core::TimePoint now = LeaseClockNow();
    coordinator->OnStoreEra(store_era_, now);
    const auto table = tables_.find(it.name);
    if (table != tables_.end()) {
      coordinator->OnTable(table->second, now);
    }
    if (was_read_[Stream::kOwnership]) {
      coordinator->OnEnd(ownership_end_);
    }
    coordinator->OnStoreAnswered(now);
    coordinators_[it.name] = std::move(coordinator);
  }
  OnTargetsChanged();
}

void Control::OnTargetsChanged() {
  const core::TimePoint now = LeaseClockNow();
  core::request::VersionsInUse versions_in_use;
  for (const auto& [id, listed] : directory_.targets()) {
    versions_in_use[listed.entry.service].insert(listed.entry.version);
  }
  poison_.SetVersionsInUse(std::move(versions_in_use));
  UpdateColdRates();
  admission_.OnTargets(directory_, routes_.get());
  for (auto& [service, coordinator] : coordinators_) {
    const core::routing::ColdLimit* limit = ColdLimitOf(service);
    std::vector<core::keyspace::OwnerTarget> targets;
    for (const auto& [id, listed] : directory_.targets()) {
      if (listed.entry.service == service) {
        targets.push_back(
            {.instance = listed.entry.instance,
             .address = listed.entry.address,
             .slots = listed.entry.slots,
             // Keys leave an evacuated domain as they leave
             // targets that drain.
             .draining = listed.entry.draining ||
                         evacuations_.Contains(listed.entry.failure_domain),
             .cold = now < listed.warm_at,
             .cold_requests_per_second =
                 limit == nullptr ? std::nullopt
                                  : std::optional(limit->requests_per_second)});
      }
    }
    coordinator->OnTargets(std::move(targets), now);
  }
}

const core::routing::ColdLimit* Control::ColdLimitOf(
    const std::string& service) const {
  const core::routing::RoutedService* found =
      routes_ ? routes_->FindService(service) : nullptr;
  return found != nullptr && found->cold_limit ? &*found->cold_limit : nullptr;
}

// Permits are issued for all targets of services with a limit, also for warm
// ones, since another host may have learned earlier that a target is cold.
void Control::UpdateColdRates() {
  const core::TimePoint now = LeaseClockNow();
  std::map<core::discovery::TargetInstance, double> rates;
  next_warm_at_ = std::nullopt;
  for (const auto& [id, listed] : directory_.targets()) {
    const core::routing::ColdLimit* limit = ColdLimitOf(listed.entry.service);
    if (limit == nullptr) {
      continue;
    }
    rates[listed.entry.instance] = limit->requests_per_second;
    if (now < listed.warm_at) {
      next_warm_at_ =
          std::min(next_warm_at_.value_or(listed.warm_at), listed.warm_at);
    }
  }
  permit_link_.SetRates(std::move(rates));
}

void Control::RunCoordinators() {
  const bool active = IsActive();
  const bool was_active = std::exchange(active_, active);
  if (active && !was_active) {
    // The first grants need another confirmation of leadership, which is
    // requested without delay.
    membership_timer_.cancel();
    RenewMembership();
  }
  const core::TimePoint now = LeaseClockNow();
  for (auto& [service, coordinator] : coordinators_) {
    for (const core::keyspace::Action& action : coordinator->Tick(now)) {
      Execute(*coordinator, action);
    }
  }
}

std::string Control::AddressOf(
    const core::discovery::TargetInstance& instance) const {
  const auto it = addresses_.find(instance);
  return it == addresses_.end() ? "" : it->second;
}

void Control::Execute(Coordinator& coordinator,
                      const core::keyspace::Action& action) {
  if (const auto* append =
          std::get_if<core::keyspace::AppendCommand>(&action)) {
    Append(coordinator, *append);
    return;
  }
  if (const auto* grant = std::get_if<core::keyspace::GrantCommand>(&action)) {
    platform_.grant(
        AddressOf(grant->target), *grant,
        [this, &coordinator, command = *grant](const CommandResponse& answer) {
          LogFailedCommand("grant_failed", command, answer);
          coordinator.OnCommandResponse(answer, LeaseClockNow());
          RunCoordinators();
        });
    return;
  }
  const auto& release = std::get<core::keyspace::ReleaseCommand>(action);
  platform_.release(
      AddressOf(release.target), release,
      [this, &coordinator, command = release](const CommandResponse& answer) {
        LogFailedCommand("release_failed", command, answer);
        coordinator.OnCommandResponse(answer, LeaseClockNow());
        RunCoordinators();
      });
}

void Control::Append(Coordinator& coordinator,
                     const core::keyspace::AppendCommand& command) {
  platform_.append(Stream::kOwnership, command.at, command.table.service,
                   EncodeOwnership(command.table),
                   [this, &coordinator, command](const AppendResult& result) {
                     switch (result.status) {
                       case StoreStatus::kOk: {
                         core::keyspace::OwnershipTable table = command.table;
                         table.offset = command.at;
                         tables_[table.service] = table;
                         ownership_end_ =
                             std::max(ownership_end_, command.at + 1);
                         coordinator.OnTable(table, LeaseClockNow());
                         coordinator.OnAppendResolved();
                         MarkChanged();
                         RunCoordinators();
                         return;
                       }
                       case StoreStatus::kUnavailable:
                         OnStoreFailure();
                         ResolveAppend(coordinator, command.at);
                         return;
                       default:
                         ResolveAppend(coordinator, command.at);
                     }
                   });
}

// Finds out the result of an append by reading the stream from the append's
// offset on. Until the result is known, the coordinator proposes nothing else.
void Control::ResolveAppend(Coordinator& coordinator, core::Offset at) {
  platform_.read(
      Stream::kOwnership, at, milliseconds(0),
      [this, &coordinator, at](const ReadResult& result) {
        if (result.status == StoreStatus::kOk ||
            result.status == StoreStatus::kHistoryLost) {
          for (const StoredRecord& it : result.records) {
            OnOwnershipRecord(it);
          }
          ownership_end_ = std::max(ownership_end_, result.end);
          coordinator.OnEnd(ownership_end_);
          coordinator.OnAppendResolved();
          MarkChanged();
          RunCoordinators();
          return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(io_);
        timer->expires_after(kResolveRetry);
        timer->async_wait([this, &coordinator, at, timer](const error_code&) {
          ResolveAppend(coordinator, at);
        });
      });
}

void Control::MarkChanged() {
  if (publish_pending_) {
    return;
  }
  publish_pending_ = true;
  boost::asio::post(io_, [this] {
    publish_pending_ = false;
    Publish();
  });
}

void Control::Publish() {
  auto view = std::make_shared<RoutingView>();
  view->routes = routes_;
  for (const auto& [id, listed] : directory_.targets()) {
    if (!listed.entry.draining) {
      view->targets[listed.entry.service].push_back(listed);
    }
  }
  view->ownership = tables_;
  view->evacuated = evacuations_.domains();
  view->evacuated_owners = CountEvacuatedOwners();
  if (evacuated_owners_ > 0 && view->evacuated_owners == 0 &&
      !view->evacuated.empty()) {
    LogEvent("evacuation_complete", {{"domains", view->evacuated.size()}});
  }
  evacuated_owners_ = view->evacuated_owners;
  view->live_hosts = live_hosts_;
  view->store_era = store_era_;
  view->odd_store_eras = odd_store_eras_;
  view->poison = poison_.view();
  view->complete = routes_ != nullptr && was_read_[Stream::kTargets] &&
                   was_read_[Stream::kOwnership];
  publish_(std::move(view));
}

void Control::OnLoad(const core::keyspace::LoadReport& report) {
  const auto table = tables_.find(report.service);
  if (table == tables_.end()) {
    return;
  }
  if (table->second.writer == writer_) {
    admission_.OnLoad(report, LeaseClockNow());
    const auto it = coordinators_.find(report.service);
    if (it != coordinators_.end()) {
      it->second->OnLoad(report, LeaseClockNow());
    }
    return;
  }
  relay_.SendLoad(report);
}

// Takes the load of other hosts.
void Control::OnLoadReport(const core::keyspace::LoadReport& report) {
  admission_.OnLoad(report, LeaseClockNow());
  const auto it = coordinators_.find(report.service);
  if (it != coordinators_.end()) {
    it->second->OnLoad(report, LeaseClockNow());
  }
}

bool Control::IsActive() const {
  const core::TimePoint now = LeaseClockNow();
  for (const auto& [service, coordinator] : coordinators_) {
    if (coordinator->IsActive(now)) {
      return true;
    }
  }
  return false;
}

NewestTable Control::FindNewestTable() const {
  NewestTable newest;
  for (const auto& [service, table] : tables_) {
    if (table.offset + 1 > newest.end) {
      newest = {.address = table.report_address, .end = table.offset + 1};
    }
  }
  return newest;
}

PermitLinkHooks Control::MakePermitHooks(DeliverPermits deliver) {
  return {
      .now = LeaseClockNow,
      .send = [this](const std::string& address,
                     const std::string& text) { relay_.SendTo(address, text); },
      // The leader writes a table as soon as it takes over.
      .leader_address = [this] { return FindNewestTable().address; },
      .deliver = std::move(deliver),
  };
}

PeerRelayHooks Control::MakeRelayHooks() {
  return {
      .on_load =
          [this](const core::keyspace::LoadReport& report) {
            OnLoadReport(report);
          },
      .load_destination =
          [this](const std::string& service) {
            const auto table = tables_.find(service);
            return table == tables_.end() ? std::string()
                                          : table->second.report_address;
          },
      .is_source = [this] { return is_leader_ && IsActive(); },
      .is_leader = [this] { return is_leader_; },
      .sources =
          [this] {
            std::set<std::string> addresses;
            for (const auto& [service, table] : tables_) {
              if (table.writer != writer_) {
                addresses.insert(table.report_address);
              }
            }
            return addresses;
          },
      .store_lost = [this] { return store_lost_; },
      .store_up_since = [this] { return store_up_since_; },
      .on_store_confirmed_by_peer =
          [this](core::TimePoint since) {
            directory_.OnStoreConfirmedByPeer(since, LeaseClockNow());
            ApplyExpirations();
          },
      .on_store_up_reported =
          [this](core::TimePoint since) {
            if (!is_member_) {
              directory_.OnStoreUpReported(since);
            }
          },
      .is_member = [this] { return is_member_; },
      .newest_table = [this] { return FindNewestTable(); },
      .is_active = [this] { return IsActive(); },
      .on_host_report =
          [this](const core::keyspace::HostReport& report) {
            for (auto& [service, coordinator] : coordinators_) {
              coordinator->OnHostReport(report, LeaseClockNow());
            }
          },
      .on_host_count =
          [this](int hosts) {
            peer_hosts_ = hosts;
            UpdateLiveHosts();
          },
      .on_leader_lost =
          [this] {
            // This host may have become the leader, which it learns only by
            // renewing its membership.
            if (!leaving_) {
              ScheduleMembership({});
            }
          },
      .poison_digest = [this] { return poison_.Digest(); },
      .poison_messages = [this] { return poison_.Messages(); },
      .on_poison_update =
          [this](const PoisonUpdate& update, const std::string& from) {
            const size_t learned = poison_.OnPeerUpdate(update);
            if (learned > 0) {
              LogEvent("poison_news_received",
                       {{"from", from},
                        {"crashes", update.crashes.size()},
                        {"proofs", update.safe_reports.size()},
                        {"new", learned}});
            }
          },
      .on_leader_digest =
          [this](const core::request::PoisonDigest& digest) {
            poison_.OnLeaderDigest(digest);
          },
      .on_permit_message =
          [this](const std::string& text, const std::string& from) {
            permit_link_.OnMessage(text, from);
          },
      .admitted_version = [this] { return admission_.version(); },
      .admitted_update =
          [this](std::uint32_t known_version) {
            return admission_.MakeUpdate(known_version, LeaseClockNow());
          },
      .on_admitted =
          [this](const core::keyspace::AdmittedUpdate& update,
                 core::TimePoint received_at) {
            admission_.OnUpdate(update, received_at, LeaseClockNow());
          },
  };
}

PoisonControlHooks Control::MakePoisonHooks() {
  return {
      .now = LeaseClockNow,
      .wall_now = std::chrono::system_clock::now,
      .broadcast = [this](const std::string& text) { relay_.Broadcast(text); },
      .store = [this](const std::string& value,
                      auto done) { StorePoison(value, std::move(done)); },
      .changed = [this] { MarkChanged(); },
  };
}

// Appends the record wherever the stream ends. If another host appends a record
// at the same time, a host that reads both records writes the reports that the
// newer one lacks.
void Control::StorePoison(const std::string& value,
                          std::function<void(bool)> done) {
  platform_.append(Stream::kOwnership, std::nullopt, kPoisonKey, value,
                   [this, done = std::move(done)](const AppendResult& result) {
                     if (result.status == StoreStatus::kOk &&
                         result.offset == ownership_end_) {
                       // This host has read all records before its own, so the
                       // new end of the stream can be used.
                       ownership_end_ = result.offset + 1;
                       for (auto& [service, coordinator] : coordinators_) {
                         coordinator->OnEnd(ownership_end_);
                       }
                     }
                     done(result.status == StoreStatus::kOk);
                   });
}

// Uses the larger one of the store's estimate and the number that the leader
// reports. With too small a number, each host would take too large a share of
// the limits that all hosts have in common.
void Control::UpdateLiveHosts() {
  const int hosts = std::max(member_hosts_, peer_hosts_);
  if (hosts != live_hosts_) {
    live_hosts_ = hosts;
    MarkChanged();
  }
}

void Control::Leave() {
  leaving_ = true;
  relay_.BeginLeaving();
  permit_link_.OnLeadership(false, LeaseClockNow());
  membership_timer_.cancel();
  // The coordinators renew leases until the record of a successor is read or
  // the process ends. A host that is not the leader stays in the group until
  // its membership ends: no other host depends on it, and leaving would make
  // the store choose a new leader.
  if (is_leader_) {
    platform_.leave_membership();
  }
}

}  // namespace toucandock::entry
