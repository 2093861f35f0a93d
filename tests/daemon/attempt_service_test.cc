#include "daemon/attempt_service.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "core/request/attempt_placement.h"

namespace toucandock::daemon {
namespace {

using core::control::HostInfo;
using core::request::AttemptKey;
using core::request::FinishResult;
using core::request::RecordResult;

// Several hosts in one process. Peers are called directly; a host's address is
// its id.
class Fleet {
 public:
  explicit Fleet(int hosts) {
    for (int n = 0; n < hosts; ++n) {
      Join(absl::StrCat("entry-", n));
    }
    ShareView();
    Advance(std::chrono::seconds(2));
  }

  void Join(const std::string& id) {
    Host& host = hosts_[id];
    host.service = std::make_unique<AttemptService>(
        id, core::request::RegistryLimits{},
        AttemptHooks{.now = [this] { return now_.load(); },
                     .has_lease = [&host] { return host.has_lease.load(); },
                     .members =
                         [this, &host] {
                           const std::lock_guard<std::mutex> lock(mutex_);
                           return host.view;
                         },
                     .call_peer =
                         [this](const auto& address, const auto& method,
                                const auto& params) {
                           return Call(address, method, params);
                         },
                     .run = [](const std::function<void()>& work) { work(); }});
    members_.push_back({.id = id, .peer_address = id});
  }

  void Remove(const std::string& id) {
    std::erase_if(members_, [&](const HostInfo& it) { return it.id == id; });
  }

  // Sends the current membership to all members except those in `except`.
  void ShareView(const std::set<std::string>& except = {}) {
    for (const HostInfo& it : members_) {
      if (!except.contains(it.id)) {
        Host& host = hosts_[it.id];
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          host.view = members_;
        }
        host.service->OnMembersChanged();
      }
    }
  }

  void Advance(core::Duration by) { now_ = now_.load() + by; }
  void Disconnect(const std::string& id) { hosts_[id].reachable = false; }
  void EndLease(const std::string& id) { hosts_[id].has_lease = false; }

  AttemptService& ServiceOf(const std::string& id) {
    return *hosts_[id].service;
  }
  RecordResult Begin(const std::string& id, const AttemptKey& key) {
    return ServiceOf(id).Begin(key);
  }
  const std::vector<HostInfo>& members() const { return members_; }

  // Returns the ids of the registry hosts of the key, highest rank first.
  std::vector<std::string> RegistryIdsOf(const AttemptKey& key) const {
    std::vector<std::string> ids;
    for (const HostInfo& it :
         core::request::RegistryHosts(members_, key.service, key.request_id)) {
      ids.push_back(it.id);
    }
    return ids;
  }

  // Returns a member that is not one of `ids`.
  std::string MemberOutside(const std::vector<std::string>& ids) const {
    for (const HostInfo& it : members_) {
      if (std::find(ids.begin(), ids.end(), it.id) == ids.end()) {
        return it.id;
      }
    }
    return "";
  }

 private:
  struct Host {
    std::unique_ptr<AttemptService> service;
    std::atomic<bool> reachable = true;
    std::atomic<bool> has_lease = true;
    std::vector<HostInfo> view;
  };

  std::string Call(const std::string& address,
                   const std::string& method,
                   const std::string& params) {
    const auto it = hosts_.find(address);
    if (it == hosts_.end() || !it->second.reachable) {
      return "";
    }
    for (const peer::Method& m : it->second.service->PeerMethods()) {
      if (m.name == method) {
        return m.handler(params);
      }
    }
    return "";
  }

  std::mutex mutex_;
  std::atomic<core::TimePoint> now_ = core::TimePoint(std::chrono::hours(1));
  std::vector<HostInfo> members_;
  std::map<std::string, Host> hosts_;
};

AttemptKey AttemptKeyFor(const std::string& id, const std::string& token) {
  return {.service = "lodger",
          .request_id = id,
          .fingerprint = "f",
          .token = token};
}

}  // namespace

// A caller that got no response sends its request again, possibly through
// another host. The registry hosts must recognise it even when one of them is
// lost.
TEST_CASE("a resend through another host must not run the request again") {
  Fleet fleet(5);
  const AttemptKey first = AttemptKeyFor("order-1", "first");
  const AttemptKey resend = AttemptKeyFor("order-1", "resend");
  const auto registry = fleet.RegistryIdsOf(first);
  const std::string other = fleet.MemberOutside(registry);
  REQUIRE(fleet.Begin(other, first) == RecordResult::kRecorded);

  SUBCASE("every host refuses it") {
    for (const HostInfo& it : fleet.members()) {
      CHECK(fleet.Begin(it.id, resend) == RecordResult::kDuplicate);
    }
  }

  SUBCASE("the first arrival ran") {
    fleet.ServiceOf(other).Finish(first, FinishResult::kRan);
    CHECK(fleet.Begin(registry[0], resend) == RecordResult::kDuplicateRan);
  }

  SUBCASE("the first arrival definitely did not run") {
    fleet.ServiceOf(other).Finish(first, FinishResult::kWithdrawn);
    CHECK(fleet.Begin(registry[0], resend) == RecordResult::kRecorded);
  }

  SUBCASE("the id is reused for another request") {
    const AttemptKey reused = {"lodger", "order-1", "g", "resend"};
    CHECK(fleet.Begin(other, reused) == RecordResult::kReusedId);
  }

  for (const size_t lost : {0, 1}) {
    SUBCASE(lost == 0 ? "the first registry host is lost"
                      : "the second registry host is lost") {
      fleet.Disconnect(registry[lost]);

      SUBCASE("and not evicted yet: nothing can be confirmed") {
        CHECK(fleet.Begin(other, resend) != RecordResult::kRecorded);
        CHECK(fleet.Begin(other, AttemptKeyFor("order-1", "third")) !=
              RecordResult::kRecorded);
      }

      SUBCASE("and evicted: the one that remains knows the attempt") {
        fleet.Remove(registry[lost]);
        fleet.ShareView();
        CHECK(fleet.Begin(other, resend) == RecordResult::kDuplicate);

        SUBCASE("then the other one is lost as well") {
          fleet.Disconnect(registry[1 - lost]);
          fleet.Remove(registry[1 - lost]);
          fleet.ShareView();
          CHECK(fleet.Begin(fleet.members()[0].id, resend) ==
                RecordResult::kDuplicate);
        }
      }
    }
  }
}

// A host that joins becomes a registry host of requests whose records other
// hosts have. If it confirmed attempts before it has the records, resends would
// run again.
TEST_CASE("a joined host that displaces registry hosts must know attempts") {
  Fleet fleet(3);
  std::vector<AttemptKey> begun;
  for (int n = 0; n < 200; ++n) {
    begun.push_back(AttemptKeyFor(absl::StrCat("order-", n), "first"));
    REQUIRE(fleet.Begin("entry-0", begun.back()) == RecordResult::kRecorded);
  }
  const auto check_all = [&] {
    for (const AttemptKey& it : begun) {
      for (const HostInfo& host : fleet.members()) {
        CHECK(fleet.Begin(host.id, AttemptKeyFor(it.request_id, "resend")) ==
              RecordResult::kDuplicate);
      }
    }
  };

  SUBCASE("two hosts join one after the other") {
    for (const char* id : {"joined-0", "joined-1"}) {
      fleet.Join(id);
      fleet.ShareView();
      fleet.Advance(std::chrono::seconds(2));
    }
    check_all();

    SUBCASE("and the first hosts leave one after the other") {
      for (const char* id : {"entry-0", "entry-1", "entry-2"}) {
        fleet.Remove(id);
        fleet.ShareView();
      }
      check_all();
    }
  }

  SUBCASE("two hosts join and an old host has not learned of them") {
    for (const char* id : {"joined-0", "joined-1"}) {
      fleet.Join(id);
      fleet.ShareView({"entry-0"});
    }
    fleet.Advance(std::chrono::seconds(2));
    int placed_on_joined_hosts = 0;
    for (int n = 0; n < 200; ++n) {
      const std::string id = absl::StrCat("later-", n);
      const auto registry = fleet.RegistryIdsOf(AttemptKeyFor(id, "any"));
      if (absl::StartsWith(registry[0], "joined") &&
          absl::StartsWith(registry[1], "joined")) {
        ++placed_on_joined_hosts;
      }
      const bool old_view =
          fleet.Begin("entry-0", AttemptKeyFor(id, "old view")) ==
          RecordResult::kRecorded;
      const bool new_view =
          fleet.Begin("joined-0", AttemptKeyFor(id, "new view")) ==
          RecordResult::kRecorded;
      CHECK_FALSE((old_view && new_view));
    }
    // The two views share no registry host for these requests.
    CHECK(placed_on_joined_hosts > 0);
  }

  SUBCASE("two hosts join before the records have reached them") {
    fleet.Join("joined-0");
    fleet.Join("joined-1");
    fleet.ShareView({"entry-0", "entry-1", "entry-2"});
    for (const AttemptKey& it : begun) {
      CHECK(fleet.Begin("joined-0", AttemptKeyFor(it.request_id, "resend")) !=
            RecordResult::kRecorded);
    }
  }
}

// Such a host may have been evicted and replaced. If it confirmed attempts, it
// and its replacement could confirm the same request.
TEST_CASE("a host without a lease must not confirm an attempt") {
  Fleet fleet(3);
  const AttemptKey key = AttemptKeyFor("order-1", "first");
  const auto registry = fleet.RegistryIdsOf(key);
  fleet.EndLease(registry[1]);
  CHECK(fleet.Begin(registry[0], key) == RecordResult::kFailed);

  SUBCASE("the request is withdrawn and its caller sends it again") {
    fleet.ServiceOf(registry[0]).Finish(key, FinishResult::kWithdrawn);
    fleet.Remove(registry[1]);
    fleet.ShareView();
    CHECK(fleet.Begin(registry[0], AttemptKeyFor("order-1", "resend")) ==
          RecordResult::kRecorded);
  }
}

// Copies of one request that arrive at several hosts at the same time must not
// all be sent to targets.
TEST_CASE("of concurrent arrivals of a request, at most one may be recorded") {
  Fleet fleet(4);
  constexpr int kRounds = 200;
  int begun_rounds = 0;
  for (int n = 0; n < kRounds; ++n) {
    const std::string id = absl::StrCat("order-", n);
    std::atomic<int> begun = 0;
    std::atomic<bool> start_flag = false;
    std::vector<std::thread> threads;
    for (const HostInfo& host : fleet.members()) {
      threads.emplace_back([&] {
        start_flag.wait(false);
        if (fleet.Begin(host.id, AttemptKeyFor(id, host.id)) ==
            RecordResult::kRecorded) {
          ++begun;
        }
      });
    }
    start_flag = true;
    start_flag.notify_all();
    for (std::thread& it : threads) {
      it.join();
    }
    CHECK(begun <= 1);
    begun_rounds += begun;
  }
  // The registry hosts are called in the order of their rank, so one arrival
  // succeeds in each round.
  CHECK(begun_rounds == kRounds);
}

}  // namespace toucandock::daemon
