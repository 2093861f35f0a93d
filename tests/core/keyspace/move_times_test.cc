#include "core/keyspace/move_times.h"

#include <doctest/doctest.h>

#include <vector>

namespace toucandock::core::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

bool IsServing(const Assignment& it) {
  return it.serving;
}

}  // namespace

// Guards against waits for moves that end too late, and against refusals while
// a move is about to end.
TEST_CASE("the rest of a move must be predicted from recent ones") {
  MoveTimes moves;
  TimePoint now = kStart;
  const auto set = [&](bool lower, bool upper) {
    moves.Update({{.keys = {.first = 0, .last = 99}, .serving = lower},
                  {.keys = {.first = 100, .last = kLastKey}, .serving = upper}},
                 IsServing, now);
  };
  const auto move = [&](Duration time) {
    set(false, true);
    now += time;
    set(true, true);
  };
  set(true, true);

  SUBCASE("a usual time is assumed at first") {
    set(false, true);
    CHECK(moves.RemainingFor(5, now) == milliseconds(750));
    SUBCASE("and one that has lasted long is expected to last as long again") {
      CHECK(moves.RemainingFor(5, now + seconds(3)) == seconds(3));
    }
  }
  SUBCASE("after short moves and the loss of an owner") {
    for (int n = 0; n < 5; ++n) {
      move(milliseconds(600));
    }
    move(seconds(5));
    set(false, true);
    CHECK(moves.RemainingFor(5, now) == milliseconds(600));
    CHECK(moves.RemainingFor(5, now + milliseconds(500)) == milliseconds(100));
    // It is no short one.
    CHECK(moves.RemainingFor(5, now + seconds(1)) == seconds(4));
    SUBCASE("ranges that move together count once") {
      set(false, false);
      now += seconds(2);
      set(true, true);
      set(false, true);
      CHECK(moves.RemainingFor(5, now + seconds(1)) == seconds(4));
    }
    SUBCASE("a split of the range does not start it again") {
      now += milliseconds(500);
      moves.Update(
          {{.keys = {.first = 0, .last = 49}, .serving = false},
           {.keys = {.first = 50, .last = 99}, .serving = false},
           {.keys = {.first = 100, .last = kLastKey}, .serving = true}},
          IsServing, now);
      CHECK(moves.RemainingFor(70, now) == milliseconds(100));
    }
  }
}

}  // namespace toucandock::core::keyspace
