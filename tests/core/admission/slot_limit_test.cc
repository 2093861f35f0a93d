#include "core/admission/slot_limit.h"

#include <doctest/doctest.h>

namespace toucandock::core::admission {

TEST_CASE("a target that sheds must not get as much as before") {
  constexpr TimePoint kStart{std::chrono::seconds(100)};
  const SlotLimitOptions options;
  SlotLimit limit(options, 4);
  limit.OnRefused(kStart);
  CHECK(limit.Get(kStart) == 2);

  SUBCASE("refusals at the same time count once") {
    limit.OnRefused(kStart);
    limit.OnRefused(kStart + options.decrease_interval / 2);
    CHECK(limit.Get(kStart) == 2);
  }

  SUBCASE("it keeps shedding") {
    for (int n = 1; n < 10; ++n) {
      limit.OnRefused(kStart + n * options.decrease_interval);
    }
    CHECK(limit.Get(kStart + 9 * options.decrease_interval) == 1);
  }

  SUBCASE("it stops shedding and gets one slot more at a time") {
    CHECK(limit.Get(kStart + options.increase_interval) == 3);
    CHECK(limit.Get(kStart + 2 * options.increase_interval) == 4);
    CHECK(limit.Get(kStart + 9 * options.increase_interval) == 4);
  }
}

}  // namespace toucandock::core::admission
