#include "entry/poison_control.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "entry/event_log.h"

namespace toucandock::entry {
namespace {

using core::request::CrashReport;
using core::request::PoisonKey;
using core::request::SuspectedRequest;
using std::chrono::milliseconds;

// A host that has many more reports than another sends them in parts, one part
// with each heartbeat.
constexpr size_t kMaxMessages = 4;

PoisonKey KeyOf(const std::string& fingerprint) {
  return {.fingerprint = fingerprint};
}

// Returns the part of the reports from `first` on that fits into a message.
template <typename Report>
std::vector<Report> Part(const std::vector<Report>& reports, size_t first) {
  const size_t begin = std::min(first, reports.size());
  const size_t end = std::min(begin + kMaxUpdateReports, reports.size());
  return {reports.begin() + static_cast<std::ptrdiff_t>(begin),
          reports.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::int64_t Milliseconds(core::Duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}  // namespace

PoisonControl::PoisonControl(const PoisonControlOptions& options,
                             PoisonControlHooks hooks)
    : options_(options),
      hooks_(std::move(hooks)),
      registry_(options.registry),
      view_(std::make_shared<PoisonView>()) {}

void PoisonControl::OnLocalUpdate(const PoisonUpdate& update) {
  const size_t crashes = pending_.crashes.size();
  const size_t safe_reports = pending_.safe_reports.size();
  Merge(update);
  const size_t new_crashes = pending_.crashes.size() - crashes;
  const size_t new_safe_reports = pending_.safe_reports.size() - safe_reports;
  if (new_crashes + new_safe_reports == 0) {
    return;
  }
  reports_sent_ += new_crashes;
  LogEvent("poison_news_sent",
           {{"crashes", new_crashes}, {"proofs", new_safe_reports}});
  ApplyIfImmediate();
}

// Forwards new reports, so that hosts that send heartbeats only to this one
// receive them. As only new reports are forwarded, messages do not circulate
// endlessly.
size_t PoisonControl::OnPeerUpdate(const PoisonUpdate& update) {
  const size_t learned = Merge(update);
  reports_received_ += learned;
  if (!pending_.empty()) {
    ApplyIfImmediate();
  }
  return learned;
}

// Returns the number of new reports, and adds to `pending_` what the other
// hosts need: the new reports, and a safe report for each crash of a request
// that this host knows to be safe.
size_t PoisonControl::Merge(const PoisonUpdate& update) {
  const core::TimePoint now = hooks_.now();
  size_t learned = 0;
  for (const SafeReport& it : update.safe_reports) {
    if (registry_.MarkSafe(KeyOf(it.fingerprint), it.version, now)) {
      ++learned;
      pending_.safe_reports.push_back(it);
    }
  }
  for (const CrashReport& it : update.crashes) {
    if (registry_.IsSafe(it.key, it.target_version.version, now)) {
      pending_.safe_reports.push_back({.fingerprint = it.key.fingerprint,
                                       .version = it.target_version.version});
    } else if (registry_.Report(it, now)) {
      ++learned;
      pending_.crashes.push_back(it);
    }
  }
  return learned;
}

void PoisonControl::ApplyIfImmediate() {
  if (++immediate_updates_ <= options_.max_immediate_updates) {
    ApplyUpdates();
  }
}

// Sends the pending reports to the other hosts, in as many messages as allowed,
// and makes them visible. The rest is sent when digests are compared, except
// single crashes if there are too many of them to compare.
void PoisonControl::ApplyUpdates() {
  const PoisonUpdate pending = std::exchange(pending_, {});
  const size_t size =
      std::max(pending.crashes.size(), pending.safe_reports.size());
  for (size_t first = 0; first < size; first += kMaxUpdateReports) {
    if (++forwards_ > options_.max_forwards) {
      break;
    }
    hooks_.broadcast(EncodePoisonUpdate(
        {.crashes = Part(pending.crashes, first),
         .safe_reports = Part(pending.safe_reports, first)}));
  }
  UpdateUnsaved();
  UpdateView();
}

void PoisonControl::OnRecord(const std::string& value) {
  const auto crashes = DecodePoisonRecord(value, hooks_.wall_now());
  if (!crashes.ok()) {
    LogEvent("poison_record_unreadable",
             {{"cause", crashes.status().message()}});
    return;
  }
  stored_crashes_.clear();
  size_t learned = 0;
  for (const CrashReport& it : *crashes) {
    stored_crashes_.emplace(it.key.fingerprint, it.target);
    learned += registry_.Report(it, hooks_.now()) ? 1 : 0;
  }
  UpdateUnsaved();
  if (learned > 0) {
    reports_received_ += learned;
    LogEvent("poison_record_read",
             {{"crashes", crashes->size()}, {"new", learned}});
    UpdateView();
  }
}

void PoisonControl::OnStoreEra() {
  stored_crashes_.clear();
  UpdateUnsaved();
}

// Returns what a record can hold of the reports that have to be stored.
std::vector<CrashReport> PoisonControl::ReportsToStore() {
  std::vector<CrashReport> reports = registry_.ReportsToStore(hooks_.now());
  reports.resize(std::min(reports.size(), kMaxStoredCrashes));
  return reports;
}

// Not all crashes of a refused request need to be on the store: as many as are
// needed to refuse it suffice.
void PoisonControl::UpdateUnsaved() {
  std::map<std::string, size_t> stored;
  std::map<std::string, size_t> known;
  const std::vector<CrashReport> reports = ReportsToStore();
  for (const CrashReport& it : reports) {
    ++known[it.key.fingerprint];
  }
  for (const auto& [fingerprint, target] : stored_crashes_) {
    ++stored[fingerprint];
  }
  bool is_unsaved = false;
  for (const CrashReport& it : reports) {
    const std::string& fingerprint = it.key.fingerprint;
    const bool match_is_stored =
        known[fingerprint] >= kCrashLimit && stored[fingerprint] >= kCrashLimit;
    is_unsaved =
        is_unsaved || (!match_is_stored &&
                       !stored_crashes_.contains({fingerprint, it.target}));
  }
  if (!is_unsaved) {
    unsaved_since_ = std::nullopt;
  } else if (!unsaved_since_) {
    unsaved_since_ = hooks_.now();
  }
}

void PoisonControl::OnLeaderDigest(const core::request::PoisonDigest& digest) {
  leader_heard_at_ = hooks_.now();
  if (unsaved_since_ && core::request::KnowSameCrashes(digest, Digest())) {
    unsaved_since_ = hooks_.now();
  }
}

void PoisonControl::SetVersionsInUse(
    core::request::VersionsInUse versions_in_use) {
  registry_.SetVersionsInUse(std::move(versions_in_use));
}

void PoisonControl::Tick(PoisonWriter writer) {
  const core::TimePoint now = hooks_.now();
  if (!pending_.empty()) {
    ApplyUpdates();
  }
  if (now - view_updated_at_ >= options_.view_interval) {
    UpdateView();
    forwards_ = 0;
    immediate_updates_ = 0;
    message_bytes_ = 0;
  }
  if (writer == PoisonWriter::kNone || !unsaved_since_ || storing_ ||
      now < next_store_at_ || now - *unsaved_since_ < StoreDelay(writer)) {
    return;
  }
  // Single crashes need not be stored any more after some time.
  UpdateUnsaved();
  if (unsaved_since_) {
    Store(writer == PoisonWriter::kLeader);
  }
}

// Returns how long reports may remain unsaved before this host writes them.
core::Duration PoisonControl::StoreDelay(PoisonWriter writer) const {
  if (writer == PoisonWriter::kLeader) {
    return options_.store_batch;
  }
  const bool hears_leader =
      hooks_.now() - leader_heard_at_ < options_.leader_timeout;
  return hears_leader ? options_.confirmation_timeout : options_.leader_timeout;
}

void PoisonControl::Store(bool is_leader) {
  const std::vector<CrashReport> reports = ReportsToStore();
  std::set<CrashId> crash_ids;
  for (const CrashReport& it : reports) {
    crash_ids.emplace(it.key.fingerprint, it.target);
  }
  storing_ = true;
  const std::string record = EncodePoisonRecord(reports, hooks_.wall_now());
  hooks_.store(record, [this, crash_ids = std::move(crash_ids), is_leader,
                        bytes = record.size()](bool stored) {
    storing_ = false;
    next_store_at_ = hooks_.now() + options_.store_retry;
    LogEvent("poison_stored", {{"crashes", crash_ids.size()},
                               {"bytes", bytes},
                               {"is_leader", is_leader},
                               {"stored", stored}});
    if (stored) {
      stored_crashes_ = crash_ids;
      unsaved_since_ = std::nullopt;
      UpdateUnsaved();
    }
  });
}

core::request::PoisonDigest PoisonControl::Digest() {
  return registry_.Digest(hooks_.now());
}

std::vector<std::string> PoisonControl::Messages() {
  std::vector<std::string> messages;
  if (message_bytes_ >= options_.max_message_bytes) {
    return messages;
  }
  const auto add = [&](const PoisonUpdate& update) {
    messages.push_back(EncodePoisonUpdate(update));
    message_bytes_ += messages.back().size();
  };
  std::vector<CrashReport> reports = registry_.ReportsToCompare(hooks_.now());
  if (next_report_ >= reports.size()) {
    next_report_ = 0;
  }
  for (size_t left = reports.size();
       left > 0 && messages.size() < kMaxMessages;) {
    // A message does not continue at the begin of the list, so that each of
    // them starts at a multiple of its size.
    const size_t n =
        std::min({left, kMaxUpdateReports, reports.size() - next_report_});
    const auto begin =
        reports.begin() + static_cast<std::ptrdiff_t>(next_report_);
    PoisonUpdate update;
    update.crashes.assign(
        std::make_move_iterator(begin),
        std::make_move_iterator(begin + static_cast<std::ptrdiff_t>(n)));
    add(update);
    left -= n;
    next_report_ = (next_report_ + n) % reports.size();
  }
  return messages;
}

// Must also be called when there are no new reports: a request is no longer
// refused after some time, or when another version of the targets is in use.
void PoisonControl::UpdateView() {
  view_updated_at_ = hooks_.now();
  auto view = std::make_shared<PoisonView>();
  for (const SuspectedRequest& it : registry_.SuspectedRequests(hooks_.now())) {
    const std::string& fingerprint = it.key.fingerprint;
    view->suspected[fingerprint] = it.target_version.version;
    if (!it.is_blocked) {
      continue;
    }
    view->refused.insert(fingerprint);
    if (!view_->refused.contains(fingerprint)) {
      LogEvent("poison_verdict", {{"fingerprint", fingerprint},
                                  {"crashes", it.crashes},
                                  {"service", it.target_version.service},
                                  {"version", it.target_version.version},
                                  {"last_crash_age_ms", Milliseconds(it.age)}});
    }
  }
  for (const std::string& it : view_->refused) {
    if (!view->refused.contains(it)) {
      LogEvent("poison_verdict_ended", {{"fingerprint", it}});
    }
  }
  view->reports_sent = reports_sent_;
  view->reports_received = reports_received_;
  const bool differs = view->suspected != view_->suspected ||
                       view->refused != view_->refused ||
                       view->reports_sent != view_->reports_sent ||
                       view->reports_received != view_->reports_received;
  if (differs) {
    view_ = std::move(view);
    hooks_.changed();
  }
}

}  // namespace toucandock::entry
