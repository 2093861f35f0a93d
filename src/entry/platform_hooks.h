#ifndef TOUCANDOCK_ENTRY_PLATFORM_HOOKS_H_
#define TOUCANDOCK_ENTRY_PLATFORM_HOOKS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/discovery/target_directory.h"
#include "core/keyspace/grant_coordinator.h"
#include "core/keyspace/ownership.h"
#include "core/routing/route_table.h"
#include "core/unit.h"

namespace toucandock::entry {

// What the store keeps for the system. Each stream holds the newest record of
// each key, and for a while the earlier ones.
enum class Stream { kConfig, kTargets, kOwnership };

struct StoredRecord {
  core::Offset offset = 0;
  std::string key;
  std::string value;
  // The key was removed.
  bool removed = false;
};

enum class StoreStatus {
  kOk,
  // The records that were asked for are no longer kept.
  kHistoryLost,
  // The append's condition did not hold.
  kConflict,
  // Surely not carried out.
  kUnavailable,
  // No answer: the call may take effect now or later.
  kUnknown,
};

struct ReadResult {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<StoredRecord> records;
  core::Offset end = 0;
};

struct AppendResult {
  StoreStatus status = StoreStatus::kUnavailable;
  // After kOk: where the record is.
  core::Offset offset = 0;
};

struct MembershipResult {
  StoreStatus status = StoreStatus::kUnavailable;
  // This host has the duty to decide about ownership.
  bool is_leader = false;
  // Estimate of the hosts that hold a membership.
  int live_hosts = 1;
};

// Everything that a host needs from the platform it runs on. Handlers run on
// the thread of the context that the hooks were made for.
struct PlatformHooks {
  // The newest record of each key, and the end of the stream.
  std::function<void(Stream, std::function<void(ReadResult)>)> read_newest;
  // Records from an offset on; waits up to the given time for one.
  std::function<void(Stream,
                     core::Offset from,
                     std::chrono::milliseconds wait,
                     std::function<void(ReadResult)>)>
      read;
  // Appends one record; with `at`, only if the stream ends there.
  std::function<void(Stream,
                     std::optional<core::Offset> at,
                     const std::string& key,
                     const std::string& value,
                     std::function<void(AppendResult)>)>
      append;
  // The membership ends when it is not renewed within the time to live.
  std::function<void(std::chrono::milliseconds ttl,
                     std::function<void(MembershipResult)>)>
      renew_membership;
  std::function<void()> leave_membership;

  std::function<absl::StatusOr<core::routing::RouteConfig>(const std::string&)>
      decode_config;
  std::function<absl::StatusOr<core::discovery::TargetEntry>(
      const std::string& key,
      const std::string& value)>
      decode_target;
  // Key of the record that holds the configuration.
  std::string config_key;

  std::function<void(const std::string& address,
                     const core::keyspace::GrantCommand&,
                     std::function<void(core::keyspace::CommandResponse)>)>
      grant;
  std::function<void(const std::string& address,
                     const core::keyspace::ReleaseCommand&,
                     std::function<void(core::keyspace::CommandResponse)>)>
      release;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_PLATFORM_HOOKS_H_
