#ifndef TOUCANDOCK_CORE_UNIT_H_
#define TOUCANDOCK_CORE_UNIT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace toucandock::core {

// Identifies one process of an entry host; a restarted process has a new id.
using HostId = std::string;

// "<service>/<address>".
using TargetId = std::string;

// Offset of a record in the log. On the platform, it contains the era of the
// store (core/position.h).
using Offset = std::uint64_t;

// Fencing token of a unit. It increases with each change of the unit's owner
// and is never reused. The upper bits come from the offset of the record that
// created the current membership, so that fences also increase when the whole
// state had to be rebuilt.
using Fence = std::uint64_t;
inline constexpr int kFenceCounterBits = 24;

// The smallest part of a service that has an owner: one shard or one hot key.
struct Unit {
  std::string service;
  std::uint64_t number = 0;

  auto operator<=>(const Unit&) const = default;
};

inline constexpr std::uint64_t kHotKeyBit = std::uint64_t{1} << 63;

std::uint64_t HashKey(absl::string_view key);

std::uint64_t ShardOf(std::uint64_t key_hash, std::uint32_t shards);

std::uint64_t HotKeyNumber(std::uint64_t key_hash);

bool IsHotKey(const Unit& unit);

std::string ToString(const Unit& unit);

}  // namespace toucandock::core

#endif  // TOUCANDOCK_CORE_UNIT_H_
