#ifndef TOUCANDOCK_ENTRY_PEER_JSON_H_
#define TOUCANDOCK_ENTRY_PEER_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/keyspace/admitted_list.h"
#include "core/keyspace/key_samples.h"
#include "core/keyspace/ownership.h"
#include "core/keyspace/ownership_delta.h"
#include "core/relay/relay_tree.h"
#include "core/request/poison_registry.h"
#include "entry/platform_hooks.h"

namespace toucandock::entry {

std::string EncodeOwnership(const core::keyspace::OwnershipTable& table);

absl::StatusOr<core::keyspace::OwnershipTable> DecodeOwnership(
    const std::string& text);

// Returns the table in a record of owners, with the position at which it was
// written. Fails if the record cannot have been written where it stands.
absl::StatusOr<core::keyspace::OwnershipTable> TableOf(
    const StoredRecord& record);

// The changes that bring the ownership tables of a host up to date.
struct OwnershipUpdate {
  // Offset of the next record.
  core::Offset end = 0;
  std::vector<core::keyspace::OwnershipDelta> deltas;
};

std::string EncodeOwnershipUpdate(const OwnershipUpdate& update);

absl::StatusOr<OwnershipUpdate> DecodeOwnershipUpdate(const std::string& text);

std::string EncodeLoadReport(const core::keyspace::LoadReport& report);

absl::StatusOr<core::keyspace::LoadReport> DecodeLoadReport(
    const std::string& text);

// How far the sender of a reply has read one stream.
struct StreamState {
  // Offset of the next record.
  core::Offset next = 0;
  // The sender has recently known all records of the stream.
  bool fresh = false;
  // How long ago the sender is known to have had all records; nothing if it
  // never had, or runs an earlier version.
  std::optional<std::chrono::milliseconds> age;

  bool operator==(const StreamState&) const = default;
};

// Periodic message of each host to the leader, and the reply to it. The reply
// says how far its sender has read the store, so that the other hosts take
// records from it and need not read the store themselves. Substitutes of the
// leader reply in the same way.
struct PeerHeartbeat {
  bool is_answer = false;
  // In a heartbeat: the sender's own calls to the store fail.
  bool store_lost = false;
  // In a heartbeat: the sender is a member of the group from which the store
  // chooses the leader. Other hosts do not notice whether the store responds.
  bool is_member = true;
  // In a heartbeat: what the leader needs to know to appoint relays.
  std::string failure_domain;
  double capacity = 0;
  // Version of the list of relays that the sender knows.
  std::uint32_t relays_version = 0;
  // Digest of the sender's reports about requests that crash targets.
  core::request::PoisonDigest poison_digest;
  StreamState config;
  StreamState targets;
  StreamState ownership;
  // For how long the store has answered the sender without interruption; zero
  // while it does not.
  std::chrono::milliseconds store_up{0};
  // In a heartbeat of a member: offset after the newest ownership table that
  // the sender knows, and whether the receiver has written that table.
  core::Offset ownership_end = 0;
  bool follows_receiver = false;
  // In a reply: the time of the sender, in a form that only it can read. In a
  // heartbeat: the last stamp that the receiver has sent, which shows that the
  // heartbeat is not older. Zero if there is none.
  std::uint64_t stamp = 0;
  // In a heartbeat: number of hosts that send heartbeats to the sender,
  // including itself; 0 if a relay counts the sender. In a reply: number of
  // hosts of the fleet.
  int hosts = 0;
  // In a reply: the sender is the leader; otherwise it is a substitute.
  bool is_leader = false;
  // In a reply of the leader: addresses of the hosts that read the store when
  // the leader is lost.
  std::vector<std::string> substitutes;
  // In a reply: the sender is a relay. The fields of its reply that describe
  // the leader are those that the leader last sent to it.
  bool is_relay = false;
  // In a reply of a relay: the leader has responded to it until recently.
  bool leader_reachable = false;
  core::request::PoisonDigest leader_digest;
  // In a heartbeat: version of the list of admitted fractions that the sender
  // knows.
  std::uint32_t admitted_version = 0;
  // In a reply: the list, if the sender has one.
  std::optional<core::keyspace::AdmittedUpdate> admitted;
  // In a reply: all relays, if the receiver does not know this version of the
  // list.
  std::optional<std::vector<core::relay::Relay>> relays;

  bool operator==(const PeerHeartbeat&) const = default;
};

std::string EncodeHeartbeat(const PeerHeartbeat& heartbeat);

absl::StatusOr<PeerHeartbeat> DecodeHeartbeat(const std::string& text);

std::string EncodeRecords(const ReadResult& result);

absl::StatusOr<ReadResult> DecodeRecords(const std::string& text);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_PEER_JSON_H_
