#include "core/unit.h"

#include "absl/strings/str_cat.h"
#include "util/hash.h"

namespace toucandock::core {

// The highest bit stays clear, since it distinguishes hot keys from shards.
std::uint64_t HashKey(absl::string_view key) {
  return util::Hash64(key) & ~kHotKeyBit;
}

// `shards` must not be 0.
std::uint64_t ShardOf(std::uint64_t key_hash, std::uint32_t shards) {
  return key_hash % shards;
}

// Returns the unit number of a key that is placed separately from its shard.
std::uint64_t HotKeyNumber(std::uint64_t key_hash) {
  return key_hash | kHotKeyBit;
}

bool IsHotKey(const Unit& unit) {
  return (unit.number & kHotKeyBit) != 0;
}

std::string ToString(const Unit& unit) {
  if (IsHotKey(unit)) {
    return absl::StrCat(unit.service, "/key-", absl::Hex(unit.number));
  }
  return absl::StrCat(unit.service, "/shard-", unit.number);
}

}  // namespace toucandock::core
