#ifndef TOUCANDOCK_ENTRY_POISON_CONTROL_H_
#define TOUCANDOCK_ENTRY_POISON_CONTROL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/request/poison_registry.h"
#include "core/time.h"
#include "entry/poison_json.h"
#include "entry/routing_view.h"

namespace toucandock::entry {

struct PoisonControlHooks {
  std::function<core::TimePoint()> now;
  std::function<WallTime()> wall_now;
  // Sends a message to the hosts that this one knows.
  std::function<void(const std::string& text)> broadcast;
  // Replaces the record on the store.
  std::function<void(const std::string& value,
                     std::function<void(bool stored)> done)>
      store;
  // Called when view() has changed.
  std::function<void()> changed;
};

struct PoisonControlOptions {
  core::request::PoisonOptions registry{
      .max_requests = 512,
      .block_duration = std::chrono::minutes(10),
      .retention = std::chrono::hours(1),
      // Reports name a target with its start time, and such an instance ends
      // only once.
      .same_crash_window = std::chrono::hours(1),
      .safe_contents = {.max_entries = 1'024}};
  // Crashes that are reported within this time are written by one call.
  core::Duration store_batch = std::chrono::milliseconds(150);
  // A host writes the reports itself if it has not heard from the leader for
  // this long. Including the time in which the others read the record, all
  // hosts have them within 3 s.
  core::Duration leader_timeout = std::chrono::milliseconds(1'200);
  // The same if it hears from the leader, but the leader has not confirmed that
  // it has these reports. After a loss of many targets, the leader needs some
  // time to collect the reports of all hosts.
  core::Duration confirmation_timeout = std::chrono::milliseconds(5'000);
  core::Duration store_retry = std::chrono::milliseconds(1'000);
  core::Duration view_interval = std::chrono::milliseconds(500);
  // Maximum number of updates that are applied and forwarded as they come,
  // within one view interval. Further ones are collected until the next tick:
  // when many targets end at once, each host reports some of their requests.
  int max_immediate_updates = 4;
  // Maximum number of updates of other hosts that are forwarded within one view
  // interval. The rest is sent when digests are compared.
  int max_forwards = 20;
  // Maximum size of the messages that are sent within one view interval, to all
  // hosts together, because digests differ. Digests may differ for a long time
  // if there are more suspected requests than a host keeps.
  size_t max_message_bytes = 128U << 10;
};

// Whether a host writes the reports to the store.
enum class PoisonWriter {
  // A relay or the leader writes for this host.
  kNone,
  // Writes what the leader does not confirm.
  kSubstitute,
  kLeader,
};

// Keeps the reports about requests that crash targets and shares them with the
// other hosts in two independent ways: by messages, and by a record on the
// store, which remains even if all hosts restart. All calls must be made on the
// control thread.
class PoisonControl {
 public:
  PoisonControl(const PoisonControlOptions& options, PoisonControlHooks hooks);

  // Takes reports about this host's own attempts.
  void OnLocalUpdate(const PoisonUpdate& update);
  // Takes a message of another host. Returns the number of reports in it that
  // were new.
  size_t OnPeerUpdate(const PoisonUpdate& update);
  // Takes the newest record on the store.
  void OnRecord(const std::string& value);
  // The store has come back from a copy, which may lack the newest record.
  void OnStoreEra();
  // Takes the digest that the leader has just sent. If it shows that the leader
  // has the same reports as this host, the leader writes them to the store.
  void OnLeaderDigest(const core::request::PoisonDigest& digest);
  void SetVersionsInUse(core::request::VersionsInUse versions_in_use);
  void Tick(PoisonWriter writer);

  core::request::PoisonDigest Digest();
  // Encodes the reports as messages. If there are more than can be sent at
  // once, the next call continues with the others, so that a host that asks
  // repeatedly gets all of them.
  std::vector<std::string> Messages();
  std::shared_ptr<const PoisonView> view() const { return view_; }

 private:
  // Fingerprint of the request, and the target that crashed.
  using CrashId = std::pair<std::string, std::string>;

  size_t Merge(const PoisonUpdate& update);
  void ApplyIfImmediate();
  void ApplyUpdates();
  std::vector<core::request::CrashReport> ReportsToStore();
  void UpdateUnsaved();
  core::Duration StoreDelay(PoisonWriter writer) const;
  void Store(bool is_leader);
  void UpdateView();

  const PoisonControlOptions options_;
  const PoisonControlHooks hooks_;
  core::request::PoisonRegistry registry_;
  std::shared_ptr<const PoisonView> view_;
  // The crashes in the newest record on the store.
  std::set<CrashId> stored_crashes_;
  std::optional<core::TimePoint> unsaved_since_;
  core::TimePoint leader_heard_at_{core::Duration::min() / 2};
  core::TimePoint next_store_at_{};
  bool storing_ = false;
  core::TimePoint view_updated_at_{};
  int immediate_updates_ = 0;
  // Reports that are in the registry, but not in the view yet, and that other
  // hosts have not received from this one.
  PoisonUpdate pending_;
  int forwards_ = 0;
  size_t message_bytes_ = 0;
  // Position in the list of reports at which the next messages begin.
  size_t next_report_ = 0;
  std::uint64_t reports_sent_ = 0;
  std::uint64_t reports_received_ = 0;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_POISON_CONTROL_H_
