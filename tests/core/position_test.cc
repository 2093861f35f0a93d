#include "core/position.h"

#include <doctest/doctest.h>

namespace toucandock::core {

// Guards against fences that fall when the store comes back from a copy, and
// against fences that hosts of an earlier version would not have given.
TEST_CASE("positions and fences must increase with the era") {
  SUBCASE("without an era, they are those of earlier versions") {
    for (const std::uint64_t offset : {0ULL, 1ULL, 4'321ULL, 1ULL << 39}) {
      CHECK(MakePosition(0, offset) == offset);
      CHECK(FenceBase(offset) == (offset + 1) << 20);
    }
  }

  SUBCASE("a later era is above all offsets of an earlier one") {
    CHECK(MakePosition(1, 0) > MakePosition(0, kMaxStoreOffset));
    CHECK(EraOf(MakePosition(3, 17)) == 3);
    CHECK(StoreOffsetOf(MakePosition(3, 17)) == 17);

    SUBCASE("also in fences, if fewer than 2^24 records are lost") {
      const std::uint64_t lost = (1ULL << 24) - 1;
      CHECK(FenceBase(MakePosition(8, 20'000'000 - lost)) >
            FenceBase(MakePosition(7, 20'000'000)));
    }
  }

  SUBCASE("fences stay below 2^63") {
    CHECK(FenceBase(MakePosition(kMaxEra, kMaxStoreOffset)) < 1ULL << 63);
  }

  SUBCASE("a double holds the fences of many eras exactly") {
    const Fence fence = FenceBase(MakePosition(255, 1ULL << 31)) + 1;
    CHECK(static_cast<Fence>(static_cast<double>(fence)) == fence);
  }
}

}  // namespace toucandock::core
