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

// The changes that bring the tables of a host up to date.
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

// What the sender of an answer has read of one stream.
struct StreamState {
  // Offset of the next record.
  core::Offset next = 0;
  // The store has answered a read within the last moments.
  bool fresh = false;

  bool operator==(const StreamState&) const = default;
};

// Sent by each host to the one that decides about owners. Its answer says what
// it has read, so that the others take records from it and need not read the
// store themselves.
struct PeerHeartbeat {
  bool is_answer = false;
  // In a greeting: the sender's own calls to the store fail.
  bool store_lost = false;
  // Of what the sender knows of requests that crash targets.
  std::uint32_t poison_digest = 0;
  StreamState config;
  StreamState targets;
  StreamState ownership;
  // In an answer: for how long the store has answered the sender without a
  // break; zero while it does not.
  std::chrono::milliseconds store_up{0};
  // Hosts that greet the sender, itself included.
  int hosts = 0;
  // In an answer: the sender has the duty; otherwise it is a substitute.
  bool is_leader = false;
  // In an answer of the host that has the duty: the addresses of those that
  // read the store when it is lost.
  std::vector<std::string> substitutes;

  bool operator==(const PeerHeartbeat&) const = default;
};

std::string EncodeHeartbeat(const PeerHeartbeat& heartbeat);

absl::StatusOr<PeerHeartbeat> DecodeHeartbeat(const std::string& text);

std::string EncodeRecords(const ReadResult& result);

absl::StatusOr<ReadResult> DecodeRecords(const std::string& text);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_PEER_JSON_H_
