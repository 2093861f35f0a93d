#include "daemon/poison_service.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace toucandock::daemon {
namespace {

using core::request::CrashReport;
using core::request::PoisonKey;
using core::request::PoisonMatch;

const PoisonKey kPoison = {"desk", "order-1", "f"};

CrashReport Crash(const std::string& target) {
  return {.key = kPoison, .target = target, .crash_limit = 2};
}

// Two hosts, of which only the first can call the other.
struct TwoHosts {
  TwoHosts() {
    second.emplace(
        "second", core::request::PoisonOptions{},
        PoisonHooks{.now = Now,
                    .members = [this] { return members; },
                    .call_peer = UnreachablePeer,
                    .probe = [this](const std::string&) { return probe; },
                    .run = RunInline});
    first.emplace(
        "first", core::request::PoisonOptions{},
        PoisonHooks{
            .now = Now,
            .members = [this] { return members; },
            .call_peer =
                [this](const std::string& address, const std::string& method,
                       const std::string& params) {
                  CHECK(address == "second");
                  CHECK(method == "poison_report");
                  return second->PeerMethods()[0].handler(params);
                },
            .probe = [this](const std::string&) { return probe; },
            .run = RunInline});
  }

  static core::TimePoint Now() { return std::chrono::steady_clock::now(); }
  static std::string UnreachablePeer(const std::string&,
                                     const std::string&,
                                     const std::string&) {
    return "";
  }

  static void RunInline(const std::function<void()>& work) { work(); }

  bool SecondRefuses() {
    return second->FindMatch(kPoison) != PoisonMatch::kNone;
  }

  std::vector<core::control::HostInfo> members = {
      {.id = "first", .peer_address = "first"},
      {.id = "second", .peer_address = "second"}};
  ProbeResult probe;
  std::optional<PoisonService> second;
  std::optional<PoisonService> first;
};

}  // namespace

// Connections also break when a target closes them or the network fails. If
// these counted as crashes, harmless requests would be blocked.
TEST_CASE("a broken connection must not be taken for a crash by itself") {
  TwoHosts hosts;

  SUBCASE("the target answers as before") {
    hosts.probe = {.refused = false, .instance = "process-1"};
    hosts.first->OnInstance("desk/a", "process-1");
    hosts.first->OnBroken(Crash("desk/a"), "a");
    hosts.first->OnBroken(Crash("desk/b"), "b");
    CHECK(hosts.first->FindMatch(kPoison) == PoisonMatch::kNone);
  }

  SUBCASE("the target does not say which process it is") {
    hosts.first->OnInstance("desk/a", "process-1");
    hosts.first->OnBroken(Crash("desk/a"), "a");
    hosts.first->OnBroken(Crash("desk/b"), "b");
    CHECK(hosts.first->FindMatch(kPoison) == PoisonMatch::kNone);
  }

  SUBCASE("the targets refuse connections") {
    hosts.probe.refused = true;
    hosts.first->OnBroken(Crash("desk/a"), "a");
    CHECK(hosts.first->FindMatch(kPoison) == PoisonMatch::kNone);
    hosts.first->OnBroken(Crash("desk/b"), "b");
    CHECK(hosts.first->FindMatch(kPoison) == PoisonMatch::kSameRequest);

    SUBCASE("and the other host refuses the request as well") {
      CHECK(hosts.SecondRefuses());
    }
  }

  SUBCASE("other processes answer for the targets") {
    hosts.first->OnInstance("desk/a", "process-1");
    hosts.first->OnInstance("desk/b", "process-2");
    hosts.probe.instance = "process-3";
    hosts.first->OnBroken(Crash("desk/a"), "a");
    hosts.first->OnBroken(Crash("desk/b"), "b");
    CHECK(hosts.first->FindMatch(kPoison) == PoisonMatch::kSameRequest);
  }
}

// Crash reports that were sent before a host joined have not reached it.
// Without them it would send blocked requests to targets again.
TEST_CASE("a joined host must get the crash reports that are in force") {
  TwoHosts hosts;
  const auto all = hosts.members;
  hosts.members = {all[0]};
  hosts.first->OnMembersChanged();
  hosts.probe.refused = true;
  hosts.first->OnBroken(Crash("desk/a"), "a");
  hosts.first->OnBroken(Crash("desk/b"), "b");
  REQUIRE(hosts.second->FindMatch(kPoison) == PoisonMatch::kNone);
  hosts.members = all;
  hosts.first->OnMembersChanged();
  CHECK(hosts.SecondRefuses());
}

}  // namespace toucandock::daemon
