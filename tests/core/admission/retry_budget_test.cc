#include "core/admission/retry_budget.h"

#include <doctest/doctest.h>

namespace toucandock::core::admission {

TEST_CASE("retries must not multiply the load of a target that fails") {
  RetryBudget budget({.share = 0.1, .burst = 10});
  int retries = 0;

  SUBCASE("every request fails and is tried again as often as allowed") {
    constexpr int kRequests = 10'000;
    for (int n = 0; n < kRequests; ++n) {
      budget.OnRequest();
      while (budget.TryRetry()) {
        ++retries;
      }
    }
    CHECK(retries >= kRequests / 10);
    CHECK(retries <= kRequests / 10 + 10);
  }

  SUBCASE("a long time without retries does not save up more than the burst") {
    for (int n = 0; n < 10'000; ++n) {
      budget.OnRequest();
    }
    while (budget.TryRetry()) {
      ++retries;
    }
    CHECK(retries == 10);
  }
}

}  // namespace toucandock::core::admission
