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
  // view() shows something else.
  std::function<void()> changed;
};

struct PoisonControlOptions {
  core::request::PoisonOptions registry{
      .requests = 512,
      .block_duration = std::chrono::minutes(10),
      .retention = std::chrono::hours(1),
      // A target is named with the time of its start and ends only once.
      .same_crash_window = std::chrono::hours(1),
      .safe_contents = {.max_entries = 1'024}};
  // Crashes of one moment are written by one call.
  core::Duration store_batch = std::chrono::milliseconds(150);
  // A host writes what the host with the duty has not confirmed to know. With
  // the time that others take to read it, all know within 3 s.
  core::Duration leader_store_timeout = std::chrono::milliseconds(1'200);
  core::Duration store_retry = std::chrono::milliseconds(1'000);
  core::Duration view_interval = std::chrono::milliseconds(500);
  // Messages in answer to others' news within one view interval; what is left
  // out follows when digests are compared.
  int max_forwards = 20;
  // Bytes of answers to differing digests within one view interval, to all
  // hosts. Digests may differ for long when more is suspected than is kept.
  size_t max_message_bytes = 128U << 10;
};

// What this host knows of requests that crash targets, shared with the other
// hosts in two ways that do not need each other: messages, and a record on the
// store, which also outlives all hosts. Lives on the control thread.
class PoisonControl {
 public:
  PoisonControl(const PoisonControlOptions& options, PoisonControlHooks hooks);

  // Of this host's own attempts.
  void OnLocalUpdate(const PoisonUpdate& update);
  // A message of another host. Returns how much of it was new.
  size_t OnPeerUpdate(const PoisonUpdate& update);
  // The newest record on the store.
  void OnRecord(const std::string& value);
  // The host with the duty to write knows the same as this one if its digest is
  // the same.
  void OnLeaderDigest(std::uint32_t digest);
  void SetVersionsInUse(core::request::VersionsInUse versions_in_use);
  void Tick(bool is_leader);

  std::uint32_t Digest();
  // All that is known, as messages; the requests with the most crashes first.
  std::vector<std::string> Messages();
  std::shared_ptr<const PoisonView> view() const { return view_; }

 private:
  // Fingerprint and target.
  using CrashId = std::pair<std::string, std::string>;

  size_t Merge(const PoisonUpdate& update, PoisonUpdate& forward);
  void UpdateUnsaved();
  void Store();
  void UpdateView();

  const PoisonControlOptions options_;
  const PoisonControlHooks hooks_;
  core::request::PoisonRegistry registry_;
  std::shared_ptr<const PoisonView> view_;
  // What the newest record on the store holds.
  std::set<CrashId> stored_crashes_;
  std::optional<core::TimePoint> unsaved_since_;
  core::TimePoint next_store_at_{};
  bool storing_ = false;
  core::TimePoint view_updated_at_{};
  int forwards_ = 0;
  size_t message_bytes_ = 0;
  std::uint64_t reports_sent_ = 0;
  std::uint64_t reports_received_ = 0;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_POISON_CONTROL_H_
