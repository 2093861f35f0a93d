#ifndef TOUCANDOCK_CORE_POSITION_H_
#define TOUCANDOCK_CORE_POSITION_H_

#include <cstdint>

#include "core/unit.h"

namespace toucandock::core {

// Number of times that the store has come back from a copy of itself.
using Era = std::uint64_t;

// On the platform, an Offset is a position: the store's offset in the low bits
// and the store's era above it. Offsets are assigned again after the store has
// come back from a copy, but positions increase. In era 0, a position equals
// the offset.
inline constexpr int kStoreOffsetBits = 40;
inline constexpr std::uint64_t kMaxStoreOffset =
    (std::uint64_t{1} << kStoreOffsetBits) - 1;

// Fences of an era are above those of earlier eras if a copy lacks fewer than
// 2^24 records of the owners. At the maximum rate of eight records a second,
// these are 24 days.
inline constexpr int kFenceEraBits = 24;
// Number of low bits that count the fences of one record. The fences of a later
// record are higher than all of them.
inline constexpr int kFenceCountBits = 20;
// Keeps fences below 2^63.
inline constexpr Era kMaxEra = (Era{1} << 18) - 1;

constexpr Offset MakePosition(Era era, std::uint64_t store_offset) {
  return (era << kStoreOffsetBits) | store_offset;
}

constexpr Era EraOf(Offset position) {
  return position >> kStoreOffsetBits;
}

constexpr std::uint64_t StoreOffsetOf(Offset position) {
  return position & kMaxStoreOffset;
}

// Returns the fence below all those that belong to the record at the position.
// A number of type double holds fences exactly while era * 2^24 + offset is
// below 2^33.
constexpr Fence FenceBase(Offset position) {
  return ((EraOf(position) << kFenceEraBits) + StoreOffsetOf(position) + 1)
         << kFenceCountBits;
}

}  // namespace toucandock::core

#endif  // TOUCANDOCK_CORE_POSITION_H_
