#include "proxy/slot_gate.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>

namespace toucandock::proxy {
namespace {

using core::admission::WorkResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLongWait{5'000};
// Long enough for a thread to act that must not act.
constexpr milliseconds kShortWait{50};

core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

SlotRequest RequestFor(const core::TargetId& target) {
  return {.target = target,
          .slots = 1,
          .work = {.request_class = "read", .deadline = Now() + seconds(20)}};
}

using SlotFuture = std::future<std::unique_ptr<SlotGate::Slot>>;

SlotFuture WaitInThread(SlotGate& gate, const SlotRequest& request) {
  return std::async(std::launch::async,
                    [&gate, request] { return gate.Wait(request); });
}

bool IsWaiting(const SlotFuture& slot) {
  return slot.wait_for(kShortWait) == std::future_status::timeout;
}

SlotResult ResultOf(SlotFuture& slot) {
  REQUIRE(slot.wait_for(kLongWait) == std::future_status::ready);
  return slot.get()->result();
}

}  // namespace

TEST_CASE("a request must not be sent while its target has no slot for it") {
  SlotGate gate(Now);
  std::unique_ptr<SlotGate::Slot> first = gate.Wait(RequestFor("a"));
  REQUIRE(first->result() == SlotResult::kAdmitted);

  SUBCASE("another target is not affected") {
    CHECK(gate.Wait(RequestFor("b"))->result() == SlotResult::kAdmitted);
  }

  SUBCASE("the next request waits") {
    std::atomic<bool> cancelled = false;
    SlotRequest request = RequestFor("a");
    request.is_cancelled = [&] { return cancelled.load(); };
    SlotFuture second = WaitInThread(gate, request);
    REQUIRE(IsWaiting(second));

    SUBCASE("until the first releases its slot") {
      first->SetWorkResult(WorkResult::kRan);
      first.reset();
      CHECK(ResultOf(second) == SlotResult::kAdmitted);

      SUBCASE("and the slot is free again when both have ended") {
        CHECK(gate.Wait(RequestFor("a"))->result() == SlotResult::kAdmitted);
      }
    }

    SUBCASE("and continues to wait when the view changes elsewhere") {
      gate.WakeAll();
      CHECK(IsWaiting(second));
      first.reset();
      CHECK(ResultOf(second) == SlotResult::kAdmitted);
    }

    SUBCASE("and is cancelled when its target must get no more requests") {
      cancelled = true;
      gate.WakeAll();
      CHECK(ResultOf(second) == SlotResult::kCancelled);
    }
  }

  SUBCASE("a request whose deadline passes is shed") {
    SlotRequest request = RequestFor("a");
    request.work.deadline = Now() + milliseconds(20);
    CHECK(gate.Wait(request)->result() == SlotResult::kShed);

    SUBCASE("and does not take the slot afterwards") {
      first.reset();
      CHECK(gate.Wait(RequestFor("a"))->result() == SlotResult::kAdmitted);
    }
  }
}

// A race between waiting, releasing and timing out could lose a slot or give
// one slot to two requests.
TEST_CASE("slots must not leak or be given out twice among many threads") {
  constexpr int kThreads = 16;
  constexpr int kRequests = 200;
  constexpr int kSlots = 3;
  SlotGate gate(Now);
  std::atomic<int> running = 0;
  std::atomic<int> max_running = 0;
  std::atomic<int> admitted = 0;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int n = 0; n < kThreads; ++n) {
    threads.emplace_back([&] {
      for (int k = 0; k < kRequests; ++k) {
        SlotRequest request = RequestFor("a");
        request.slots = kSlots;
        const auto slot = gate.Wait(request);
        if (slot->result() != SlotResult::kAdmitted) {
          continue;
        }
        ++admitted;
        const int now = ++running;
        int seen = max_running;
        while (now > seen && !max_running.compare_exchange_weak(seen, now)) {
        }
        std::this_thread::yield();
        --running;
        slot->SetWorkResult(WorkResult::kRan);
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  CHECK(admitted == kThreads * kRequests);
  CHECK(max_running <= kSlots);
}

}  // namespace toucandock::proxy
