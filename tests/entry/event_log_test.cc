#include "entry/event_log.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

namespace toucandock::entry {

// Guards against a counter that hides losses because it restarts with each line
// that is written.
TEST_CASE("dropped log lines must stay counted") {
  const std::uint64_t before = DroppedLogLines();
  for (int n = 0; n < 1'000; ++n) {
    LogEvent("flood", {{"n", n}});
  }
  const std::uint64_t dropped = DroppedLogLines();
  REQUIRE(dropped > before);
  // Time for at least one more line.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  LogEvent("after_the_flood", {});
  CHECK(DroppedLogLines() >= dropped);
}

}  // namespace toucandock::entry
