#include "core/admission/key_admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace toucandock::core::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr std::uint32_t kBusyKey = 500;
constexpr Duration kTimeLeft = seconds(4);

keyspace::AdmittedRanges OneBusyKey(double fraction) {
  return {{.keys = {kBusyKey, kBusyKey}, .fraction = fraction}};
}

KeyedArrival Arrival(int priority = 0, bool has_returned = false) {
  return {.key = kBusyKey,
          .priority = priority,
          .has_returned = has_returned,
          .time_left = kTimeLeft};
}

}  // namespace

// Each host sees few requests for a busy key. Guards against a fleet that
// admits far more or less than the fraction because of what each host does with
// its first request.
TEST_CASE("a crowd on one key must be admitted by the fleet's fraction") {
  constexpr int kHosts = 83;
  constexpr double kFraction = 0.2;
  std::vector<KeyAdmission> hosts;
  for (int n = 0; n < kHosts; ++n) {
    hosts.emplace_back(KeyAdmissionOptions{}, static_cast<std::uint64_t>(n));
    hosts.back().SetRanges(OneBusyKey(kFraction), kStart + seconds(1));
  }
  int rounds = 0;
  SUBCASE("one request at each host") {
    rounds = 1;
  }
  SUBCASE("three requests at each host") {
    rounds = 3;
  }
  SUBCASE("twelve requests at each host") {
    rounds = 12;
  }
  int admitted = 0;
  for (int round = 0; round < rounds; ++round) {
    for (KeyAdmission& it : hosts) {
      admitted += it.Decide(Arrival(), kStart).is_admitted ? 1 : 0;
    }
  }
  const double expected = kFraction * kHosts * rounds;
  CHECK(admitted > expected * 0.6);
  CHECK(admitted < expected * 1.4);
}

TEST_CASE("only listed keys are limited, and only while the list holds") {
  KeyAdmission admission(KeyAdmissionOptions{}, 1);
  admission.SetRanges(OneBusyKey(0), kStart + seconds(1));
  const auto decide = [&](std::uint32_t key, TimePoint now) {
    return admission.Decide({.key = key, .time_left = kTimeLeft}, now);
  };
  CHECK_FALSE(decide(kBusyKey, kStart).is_admitted);
  CHECK(decide(kBusyKey - 1, kStart).is_admitted);
  CHECK(decide(kBusyKey + 1, kStart).is_admitted);
  CHECK_FALSE(decide(kBusyKey + 1, kStart).is_limited);
  // The leader is lost, or the list is late.
  CHECK(decide(kBusyKey, kStart + seconds(1)).is_admitted);
  CHECK(admission.LimitedRanges(kStart + seconds(1)) == 0);

  SUBCASE("a list with other ranges takes over what was counted") {
    admission.SetRanges(OneBusyKey(0.5), kStart + seconds(2));
    int admitted = 0;
    for (int n = 0; n < 100; ++n) {
      admission.SetRanges(
          {{.keys = {kBusyKey - n % 2, kBusyKey + 1}, .fraction = 0.5}},
          kStart + seconds(2));
      admitted += decide(kBusyKey, kStart + seconds(1)).is_admitted ? 1 : 0;
    }
    CHECK(admitted > 30);
    CHECK(admitted < 70);
  }
}

// Guards against urgent requests that are refused because less urgent ones have
// used what could be admitted.
TEST_CASE("urgent requests for a busy key go before others") {
  KeyAdmission admission(KeyAdmissionOptions{}, 1);
  admission.SetRanges(OneBusyKey(0.5), kStart + seconds(100));
  constexpr int kRounds = 200;
  int first = 0;
  int second = 0;
  const auto run = [&](const KeyedArrival& one, const KeyedArrival& other) {
    for (int n = 0; n < kRounds; ++n) {
      second += admission.Decide(other, kStart).is_admitted ? 1 : 0;
      first += admission.Decide(one, kStart).is_admitted ? 1 : 0;
    }
  };
  SUBCASE("by the priority of the route") {
    run(Arrival(0), Arrival(2));
    CHECK(first >= kRounds * 9 / 10);
  }
  SUBCASE("callers that came back before new ones of their rank") {
    run(Arrival(0, true), Arrival(0, false));
    CHECK(first >= kRounds * 9 / 10);
  }
  SUBCASE("but not before more urgent ones") {
    run(Arrival(0, false), Arrival(1, true));
    CHECK(first >= kRounds * 9 / 10);
  }
  // Together they get the fraction.
  CHECK(first + second >= kRounds - 5);
  CHECK(first + second <= kRounds + 5);
}

TEST_CASE("less urgent requests get all that urgent ones do not ask for") {
  KeyAdmission admission(KeyAdmissionOptions{}, 1);
  admission.SetRanges(OneBusyKey(0.5), kStart + seconds(100));
  int admitted = 0;
  for (int n = 0; n < 100; ++n) {
    admitted += admission.Decide(Arrival(3), kStart).is_admitted ? 1 : 0;
  }
  CHECK(admitted >= 49);
}

// Guards against callers that return together, and against a Retry-After that
// callers do not honour because it is longer than a third of their time.
TEST_CASE("callers that are refused must return at different times") {
  KeyAdmission admission(KeyAdmissionOptions{}, 1);
  double fraction = 0;
  Duration last{};
  SUBCASE("what is refused is soon served") {
    fraction = 2.0 / 3;
    last = milliseconds(500);
  }
  SUBCASE("what is refused takes long: up to a third of their time") {
    fraction = 0.01;
    last = kTimeLeft / 3;
  }
  SUBCASE("nothing can be served") {
    last = kTimeLeft / 3;
  }
  admission.SetRanges(OneBusyKey(fraction), kStart + seconds(1));
  std::vector<Duration> told;
  while (told.size() < 100) {
    const AdmissionDecision it = admission.Decide(Arrival(), kStart);
    if (!it.is_admitted) {
      told.push_back(it.retry_after);
    }
  }
  std::sort(told.begin(), told.end());
  CHECK(told.front() >= milliseconds(100));
  CHECK(told.back() <= last);
  CHECK(told.back() > last * 8 / 10);
  for (size_t n = 1; n < told.size(); ++n) {
    CHECK(told[n] - told[n - 1] < last / 20);
  }
}

TEST_CASE("a caller with little time left is told a third of it at most") {
  KeyAdmission admission(KeyAdmissionOptions{}, 1);
  admission.SetRanges(OneBusyKey(0), kStart + seconds(1));
  const auto told = [&](Duration left) {
    return admission.Decide({.key = kBusyKey, .time_left = left}, kStart)
        .retry_after;
  };
  CHECK(told(milliseconds(90)) <= milliseconds(30));
  CHECK(told(Duration{}) == Duration{});
  CHECK(told(milliseconds(-50)) == Duration{});
}

}  // namespace toucandock::core::admission
