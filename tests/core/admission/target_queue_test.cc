#include "core/admission/target_queue.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace toucandock::core::admission {
namespace {

using config::WorkLength;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kServiceTime = milliseconds(10);

Work Short(Duration remaining, const std::string& caller = "") {
  return {.request_class = "read",
          .caller = caller,
          .deadline = kStart + remaining};
}

Work Long(Duration remaining) {
  return {.request_class = "preview",
          .length = WorkLength::kLong,
          .deadline = kStart + remaining};
}

bool Contains(const std::vector<Ticket>& tickets, Ticket ticket) {
  return std::find(tickets.begin(), tickets.end(), ticket) != tickets.end();
}

// Lets the queue measure a service time of `taken` for the class of `like`.
void RecordServiceTime(TargetQueue& queue, const Work& like, Duration taken) {
  Work work = like;
  work.deadline = kStart + seconds(60);
  QueueChanges changes;
  const Ticket ticket = queue.Offer(work, kStart - taken, changes);
  REQUIRE(Contains(changes.admitted, ticket));
  queue.Finish(ticket, WorkResult::kRan, kStart, changes);
}

}  // namespace

TEST_CASE("a target must not get more requests than it has slots") {
  TargetQueue queue({.slots = 2});
  QueueChanges changes;
  const Ticket first = queue.Offer(Short(seconds(9)), kStart, changes);
  queue.Offer(Short(seconds(9)), kStart, changes);
  REQUIRE(changes.admitted.size() == 2);
  changes = {};
  const Ticket late = queue.Offer(Short(seconds(5)), kStart, changes);
  const Ticket urgent =
      queue.Offer(Short(seconds(2), "other"), kStart, changes);
  CHECK(changes.admitted.empty());

  SUBCASE("a slot becomes free and the earliest deadline gets it") {
    queue.Finish(first, WorkResult::kRan, kStart, changes);
    CHECK(changes.admitted == std::vector<Ticket>{urgent});

    SUBCASE("releasing the same slot twice frees nothing") {
      queue.Finish(first, WorkResult::kRan, kStart, changes);
      CHECK(queue.in_service() == 2);
    }
  }

  SUBCASE("the caller of the urgent request leaves and the next is served") {
    queue.Withdraw(urgent, kStart, changes);
    queue.Finish(first, WorkResult::kFailed, kStart, changes);
    CHECK(changes.admitted == std::vector<Ticket>{late});
  }

  SUBCASE("the target refuses one, so that fewer slots are used for a while") {
    queue.Finish(first, WorkResult::kRefused, kStart, changes);
    CHECK(changes.admitted.empty());
    CHECK(queue.in_service() == 1);

    SUBCASE("and more again later") {
      const TimePoint later = kStart + SlotLimitOptions{}.increase_interval;
      queue.Offer(Short(seconds(9)), later, changes);
      CHECK(changes.admitted == std::vector<Ticket>{urgent});
    }
  }
}

// Long work that occupied every slot would block short work for its whole
// duration.
TEST_CASE("short work must not wait until long work ends") {
  TargetQueue queue({.slots = 3});
  QueueChanges changes;
  for (int n = 0; n < 5; ++n) {
    queue.Offer(Long(seconds(50)), kStart, changes);
  }
  CHECK(queue.in_service() == 1);

  SUBCASE("slots are free for short work that comes later") {
    changes = {};
    queue.Offer(Short(seconds(1)), kStart, changes);
    queue.Offer(Short(seconds(1)), kStart, changes);
    CHECK(changes.admitted.size() == 2);
  }

  SUBCASE("long work continues even when the slot limit has fallen to one") {
    const Ticket running = changes.admitted.front();
    changes = {};
    queue.Finish(running, WorkResult::kRefused, kStart, changes);
    CHECK(changes.admitted.size() == 1);
  }
}

TEST_CASE("long work must not starve behind a burst of short work") {
  TargetQueue queue({.slots = 1});
  QueueChanges changes;
  Ticket running = queue.Offer(Short(seconds(50)), kStart, changes);
  const Ticket waiting = queue.Offer(Long(seconds(50)), kStart, changes);
  int before = 0;
  while (!Contains(changes.admitted, waiting) && before < 100) {
    ++before;
    queue.Offer(Short(seconds(50)), kStart, changes);
    changes = {};
    queue.Finish(running, WorkResult::kRan, kStart, changes);
    REQUIRE(changes.admitted.size() == 1);
    running = changes.admitted.front();
  }
  CHECK(before < 20);
}

TEST_CASE("a slow class must not count as short because it is configured so") {
  TargetQueue queue({.slots = 3});
  const Work preview = {.request_class = "preview"};
  for (int n = 0; n < 8; ++n) {
    RecordServiceTime(queue, Short(seconds(0)), kServiceTime);
  }
  QueueChanges changes;
  Work slow = preview;
  slow.deadline = kStart + seconds(60);

  SUBCASE("before its service times are measured, it uses all slots") {
    for (int n = 0; n < 3; ++n) {
      queue.Offer(slow, kStart, changes);
    }
    CHECK(queue.in_service() == 3);
  }

  SUBCASE("its requests ran many times as long as the others") {
    for (int n = 0; n < 8; ++n) {
      RecordServiceTime(queue, preview, 40 * kServiceTime);
    }
    for (int n = 0; n < 3; ++n) {
      queue.Offer(slow, kStart, changes);
    }
    CHECK(queue.in_service() == 1);
  }
}

TEST_CASE("slots must not be spent on work that ends after its deadline") {
  TargetQueue queue({.slots = 1});
  for (int n = 0; n < 40; ++n) {
    RecordServiceTime(queue, Short(seconds(0)), kServiceTime);
  }
  QueueChanges changes;
  const Ticket running = queue.Offer(Short(seconds(9)), kStart, changes);
  for (int n = 0; n < 10; ++n) {
    queue.Offer(Short(milliseconds(120)), kStart, changes);
  }
  REQUIRE(changes.shed.empty());

  SUBCASE(
      "the queue predicts at its arrival that it cannot be served in time") {
    const Ticket late = queue.Offer(Short(milliseconds(110)), kStart, changes);
    CHECK(changes.shed.empty());
    const Ticket last = queue.Offer(Short(milliseconds(121)), kStart, changes);
    REQUIRE(changes.shed.size() == 1);
    CHECK(changes.shed.front().ticket == last);
    CHECK(changes.shed.front().retry_after > 10 * kServiceTime);
    CHECK(late != last);
  }

  SUBCASE("the work before it took longer than usual") {
    queue.Finish(running, WorkResult::kFailed, kStart + milliseconds(115),
                 changes);
    CHECK(changes.admitted == std::vector<Ticket>{running});
    CHECK(changes.shed.size() == 10);
    CHECK(queue.waiting() == 0);
  }
}

// By deadline alone, a caller with many requests and early deadlines would
// always be served before the others.
TEST_CASE("one caller must not take the target from the others") {
  TargetQueue queue({.slots = 1, .queue = 8});
  RecordServiceTime(queue, Short(seconds(0)), kServiceTime);
  QueueChanges changes;
  Ticket running = queue.Offer(Short(seconds(50), "greedy"), kStart, changes);
  constexpr int kBacklog = 8;
  std::vector<Ticket> greedy;
  greedy.reserve(kBacklog);
  for (int n = 0; n < kBacklog; ++n) {
    greedy.push_back(
        queue.Offer(Short(seconds(40), "greedy"), kStart, changes));
  }

  SUBCASE("a full queue makes room for another caller") {
    changes = {};
    const Ticket modest =
        queue.Offer(Short(seconds(50), "modest"), kStart, changes);
    REQUIRE(changes.shed.size() == 1);
    CHECK(changes.shed.front().ticket == greedy.back());

    SUBCASE("which is served before the backlog in spite of its deadline") {
      int before = 0;
      while (!Contains(changes.admitted, modest) && before < 8) {
        ++before;
        changes = {};
        queue.Finish(running, WorkResult::kRan, kStart + before * kServiceTime,
                     changes);
        REQUIRE(changes.admitted.size() == 1);
        running = changes.admitted.front();
      }
      CHECK(before < 8);
    }
  }

  SUBCASE("but its own further requests are shed") {
    const Ticket more =
        queue.Offer(Short(seconds(50), "greedy"), kStart, changes);
    REQUIRE(changes.shed.size() == 1);
    CHECK(changes.shed.front().ticket == more);
  }
}

TEST_CASE("a cold target must not get its full load at once") {
  TargetQueue queue({.slots = 4});
  queue.SetCold(true);
  QueueChanges changes;
  for (int n = 0; n < 4; ++n) {
    queue.Offer(Short(seconds(9)), kStart, changes);
  }
  CHECK(queue.in_service() == 2);

  SUBCASE("it has warmed up") {
    queue.SetCold(false);
    queue.Offer(Short(seconds(9)), kStart, changes);
    CHECK(queue.in_service() == 4);
  }
}

}  // namespace toucandock::core::admission
