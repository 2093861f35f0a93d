#ifndef TOUCANDOCK_ENTRY_PLATFORM_HOOKS_H_
#define TOUCANDOCK_ENTRY_PLATFORM_HOOKS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/discovery/target_directory.h"
#include "core/keyspace/grant_coordinator.h"
#include "core/keyspace/ownership.h"
#include "core/position.h"
#include "core/routing/route_table.h"
#include "core/unit.h"

namespace toucandock::entry {

// The streams that the store keeps for the system. Each stream holds the newest
// record of each key, and for some time the earlier ones.
enum class Stream { kConfig, kTargets, kOwnership };

struct StoredRecord {
  core::Offset offset = 0;
  std::string key;
  std::string value;
  // The record removes the key.
  bool removed = false;
  // In place of `value`, if the record was received as a change of the table
  // before it. Neither encoded nor decoded on the way, which would take a host
  // with a tenth of a processor some 40 ms for a table of 300 ranges.
  std::shared_ptr<const core::keyspace::OwnershipTable> table;
};

enum class StoreStatus {
  kOk,
  // The requested records are no longer kept.
  kHistoryLost,
  // The stream does not end at the offset that the append requires.
  kConflict,
  // The call was definitely not carried out.
  kUnavailable,
  // No response was received. The call may have taken effect or may do so
  // later.
  kUnknown,
};

struct ReadResult {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<StoredRecord> records;
  core::Offset end = 0;
  // The stream holds records after these that did not fit into the response.
  bool has_more = false;
};

struct AppendResult {
  StoreStatus status = StoreStatus::kUnavailable;
  // Offset of the record if the status is kOk.
  core::Offset offset = 0;
};

struct MembershipResult {
  StoreStatus status = StoreStatus::kUnavailable;
  // This host is the leader, which decides about ownership.
  bool is_leader = false;
  // Estimated number of hosts that are members of the group.
  int live_hosts = 1;
};

// What the store says about its own history.
struct StoreEra {
  core::Era era = 0;
  // Responses whose statement of the era could not be used.
  std::uint64_t odd_headers = 0;
};

// Everything that a host needs from the platform it runs on. Handlers run on
// the thread of the io_context that the hooks were made for.
struct PlatformHooks {
  // Reads the newest record of each key and the end of the stream.
  std::function<void(Stream, std::function<void(ReadResult)>)> read_newest;
  // Reads the records from an offset on. If there are none, the store waits up
  // to the given time for one.
  std::function<void(Stream,
                     core::Offset from,
                     std::chrono::milliseconds wait,
                     std::function<void(ReadResult)>)>
      read;
  // Appends one record; if `at` is set, only if the stream ends at that offset.
  std::function<void(Stream,
                     std::optional<core::Offset> at,
                     const std::string& key,
                     const std::string& value,
                     std::function<void(AppendResult)>)>
      append;
  // Joins the group of hosts or renews the membership, which ends if it is not
  // renewed within the time to live.
  std::function<void(std::chrono::milliseconds ttl,
                     std::function<void(MembershipResult)>)>
      renew_membership;
  std::function<void()> leave_membership;
  // Registers a handler that is called when the store's era has risen, or when
  // a response has stated an era that could not be used. May be empty.
  std::function<void(std::function<void(const StoreEra&)>)> watch_store_era;

  std::function<absl::StatusOr<core::routing::RouteConfig>(const std::string&)>
      decode_config;
  std::function<absl::StatusOr<core::discovery::TargetEntry>(
      const std::string& key,
      const std::string& value)>
      decode_target;
  // Key of the record that holds the configuration.
  std::string config_key;
  // Returns the failure domain that a record with this key evacuates; nothing
  // for other keys.
  std::function<std::optional<std::string>(const std::string& key)>
      evacuated_domain;

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
