#ifndef TOUCANDOCK_ENTRY_PEER_JSON_H_
#define TOUCANDOCK_ENTRY_PEER_JSON_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/keyspace/key_samples.h"
#include "core/keyspace/ownership.h"
#include "core/keyspace/ownership_delta.h"
#include "entry/platform_hooks.h"

namespace toucandock::entry {

std::string EncodeOwnership(const core::keyspace::OwnershipTable& table);

absl::StatusOr<core::keyspace::OwnershipTable> DecodeOwnership(
    const std::string& text);

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
  // The store has recently answered a read of the stream.
  bool fresh = false;

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
  // Digest of the sender's reports about requests that crash targets.
  std::uint32_t poison_digest = 0;
  StreamState config;
  StreamState targets;
  StreamState ownership;
  // In a reply: for how long the store has answered the sender without
  // interruption; zero while it does not.
  std::chrono::milliseconds store_up{0};
  // In a reply: number of hosts that send heartbeats to the sender, including
  // itself.
  int hosts = 0;
  // In a reply: the sender is the leader; otherwise it is a substitute.
  bool is_leader = false;
  // In a reply of the leader: addresses of the hosts that read the store when
  // the leader is lost.
  std::vector<std::string> substitutes;

  bool operator==(const PeerHeartbeat&) const = default;
};

std::string EncodeHeartbeat(const PeerHeartbeat& heartbeat);

absl::StatusOr<PeerHeartbeat> DecodeHeartbeat(const std::string& text);

std::string EncodeRecords(const ReadResult& result);

absl::StatusOr<ReadResult> DecodeRecords(const std::string& text);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_PEER_JSON_H_
