#include "entry/poison_control.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace toucandock::entry {
namespace {

using core::request::CrashReport;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kTick = milliseconds(100);
// Digests are compared with each heartbeat.
constexpr int kTicksPerHeartbeat = 3;
// Time within which all hosts must have the reports.
constexpr core::Duration kPropagationTime = seconds(3);
// What each host may receive for control, over all.
constexpr size_t kControlBytesPerSecond = 20'000;

CrashReport Crash(const std::string& content, const std::string& target) {
  return {.key = {.fingerprint = content},
          .target = target,
          .crash_limit = kCrashLimit,
          .target_version = {.service = "lodger", .version = "v1"}};
}

// Simulates a store and hosts that send heartbeats to the first one, the
// leader. Messages and calls take no time; those over an interrupted link are
// lost.
class Hosts {
 public:
  explicit Hosts(size_t count) {
    for (size_t n = 0; n < count; ++n) {
      hosts_.emplace_back();
    }
    for (size_t n = 0; n < count; ++n) {
      Start(n);
    }
  }

  // Starts a new process for a host, which reads the store if it can.
  void Start(size_t n) {
    hosts_[n].control = std::make_unique<PoisonControl>(
        PoisonControlOptions{},
        PoisonControlHooks{
            .now = [this] { return now_; },
            .wall_now = [this] { return WallTime(now_.time_since_epoch()); },
            .broadcast = [this, n](const std::string& text) { Send(n, text); },
            .store = [this, n](const std::string& value,
                               auto done) { Write(n, value, done); },
            .changed = [] {}});
    hosts_[n].read = 0;
    Read(n);
  }

  void Advance(core::Duration time) {
    for (const core::TimePoint end = now_ + time; now_ < end;) {
      now_ += kTick;
      ++ticks_;
      for (size_t n = 0; n < hosts_.size(); ++n) {
        hosts_[n].control->Tick(n == 0 ? PoisonWriter::kLeader
                                       : PoisonWriter::kSubstitute);
        Read(n);
        if (ticks_ % kTicksPerHeartbeat == 0) {
          SendHeartbeats(n);
        }
      }
    }
  }

  void Report(size_t n, const CrashReport& crash) {
    hosts_[n].control->OnLocalUpdate({.crashes = {crash}});
  }

  PoisonControl& control(size_t n) { return *hosts_[n].control; }
  bool Refuses(size_t n, const std::string& content) {
    return control(n).view()->refused.contains(content);
  }
  size_t CountRefusing(const std::string& content) {
    size_t count = 0;
    for (size_t n = 0; n < hosts_.size(); ++n) {
      count += Refuses(n, content) ? 1 : 0;
    }
    return count;
  }

  size_t record_bytes() const {
    size_t bytes = 0;
    for (const std::string& it : records) {
      bytes += it.size();
    }
    return bytes;
  }

  bool peers_unreachable = false;
  bool drops_broadcasts = false;
  // Whether each host is cut off from the store.
  std::vector<bool> store_unreachable = std::vector<bool>(16, false);
  size_t message_bytes = 0;
  std::vector<std::string> records;

 private:
  struct Host {
    std::unique_ptr<PoisonControl> control;
    size_t read = 0;
  };

  void Deliver(size_t to, const std::string& text) {
    message_bytes += text.size();
    const auto update = DecodePoisonUpdate(text);
    REQUIRE(update.ok());
    hosts_[to].control->OnPeerUpdate(*update);
  }

  // The leader knows all hosts; the others know only the leader.
  void Send(size_t from, const std::string& text) {
    if (peers_unreachable || drops_broadcasts) {
      return;
    }
    for (size_t n = 0; n < hosts_.size(); ++n) {
      if (n != from && (n == 0 || from == 0)) {
        Deliver(n, text);
      }
    }
  }

  void SendHeartbeats(size_t n) {
    if (n == 0 || peers_unreachable) {
      return;
    }
    const auto compare = [this](size_t from, size_t to) {
      if (!core::request::KnowSameCrashes(control(from).Digest(),
                                          control(to).Digest())) {
        for (const std::string& it : control(from).Messages()) {
          Deliver(to, it);
        }
      }
    };
    compare(0, n);
    compare(n, 0);
    control(n).OnLeaderDigest(control(0).Digest());
  }

  void Write(size_t n,
             const std::string& value,
             const std::function<void(bool)>& done) {
    if (!store_unreachable[n]) {
      records.push_back(value);
    }
    done(!store_unreachable[n]);
  }

  void Read(size_t n) {
    Host& host = hosts_[n];
    if (store_unreachable[n]) {
      return;
    }
    for (; host.read < records.size(); ++host.read) {
      host.control->OnRecord(records[host.read]);
    }
  }

  core::TimePoint now_{std::chrono::hours(1'000)};
  int ticks_ = 0;
  std::vector<Host> hosts_;
};

}  // namespace

// Guards against a request that crashes targets through several hosts and is
// never refused, because no host alone has seen enough crashes and the reports
// of the others were lost.
TEST_CASE("hosts must add up the crashes that each of them saw") {
  Hosts hosts(4);
  const auto report_from_three_hosts = [&hosts] {
    for (size_t n = 1; n < 4; ++n) {
      hosts.Report(n, Crash("f", absl::StrCat("i-", n, "/1")));
    }
  };

  SUBCASE("two crashes do not suffice to refuse a request") {
    hosts.Report(1, Crash("f", "i-1/1"));
    hosts.Report(2, Crash("f", "i-2/1"));
    hosts.Advance(kPropagationTime);
    CHECK(hosts.CountRefusing("f") == 0);
  }

  SUBCASE("several hosts had copies at one target, which ended once") {
    for (size_t n = 0; n < 4; ++n) {
      hosts.Report(n, Crash("f", "i-1/1"));
    }
    hosts.Advance(kPropagationTime);
    CHECK(hosts.CountRefusing("f") == 0);
  }

  SUBCASE("three hosts saw one each") {
    report_from_three_hosts();
    CHECK(hosts.CountRefusing("f") == 4);
    hosts.Advance(kPropagationTime);
    // Crashes that happen at the same time are stored in one record, and no
    // record is written when there are no new crashes.
    CHECK(hosts.records.size() == 1);

    SUBCASE("and a host that starts later reads them") {
      hosts.peers_unreachable = true;
      hosts.Start(2);
      hosts.Advance(kTick);
      CHECK(hosts.Refuses(2, "f"));
    }

    SUBCASE("and all hosts restart at once") {
      for (size_t n = 0; n < 4; ++n) {
        hosts.Start(n);
      }
      hosts.Advance(kTick);
      CHECK(hosts.CountRefusing("f") == 4);
    }
  }

  SUBCASE("the first messages are lost") {
    hosts.drops_broadcasts = true;
    report_from_three_hosts();
    hosts.Advance(kPropagationTime);
    CHECK(hosts.CountRefusing("f") == 4);
  }

  SUBCASE("the store is unavailable to all hosts") {
    hosts.store_unreachable.assign(16, true);
    report_from_three_hosts();
    CHECK(hosts.CountRefusing("f") == 4);

    SUBCASE("and gets the reports when it is available again") {
      hosts.Advance(kPropagationTime);
      hosts.store_unreachable.assign(16, false);
      hosts.Advance(seconds(2));
      CHECK_FALSE(hosts.records.empty());
    }
  }

  SUBCASE("the store is unavailable to the leader only") {
    hosts.store_unreachable[0] = true;
    report_from_three_hosts();
    hosts.Advance(kPropagationTime);
    CHECK(hosts.CountRefusing("f") == 4);
  }

  SUBCASE("the hosts reach the store, but not each other") {
    hosts.peers_unreachable = true;
    report_from_three_hosts();
    hosts.Advance(kPropagationTime);
    CHECK(hosts.CountRefusing("f") == 4);
  }

  SUBCASE("a host was cut off meanwhile") {
    hosts.peers_unreachable = true;
    hosts.store_unreachable[3] = true;
    hosts.Report(1, Crash("f", "i-1/1"));
    hosts.Report(2, Crash("f", "i-2/1"));
    hosts.Report(2, Crash("f", "i-3/1"));
    hosts.Advance(kPropagationTime);
    CHECK(hosts.CountRefusing("f") == 3);
    hosts.peers_unreachable = false;
    hosts.Advance(seconds(1));
    CHECK(hosts.Refuses(3, "f"));
  }
}

// Guards against reports that never reach a host that joins, because the same
// first ones were sent each time.
TEST_CASE("all reports must reach a host that joins, also if they are many") {
  constexpr size_t kJoining = 3;
  Hosts hosts(1 + kJoining);
  hosts.store_unreachable.assign(16, true);
  hosts.drops_broadcasts = true;
  // 600 reports, which is more than one exchange of messages carries.
  for (int n = 0; n < 300; ++n) {
    hosts.Report(0, Crash(absl::StrCat("f", n), "i-1/1"));
    hosts.Report(0, Crash(absl::StrCat("f", n), "i-2/1"));
  }
  hosts.Advance(kPropagationTime);
  for (size_t n = 1; n <= kJoining; ++n) {
    CAPTURE(n);
    CHECK(hosts.control(n).view()->suspected.size() == 300);
    CHECK(hosts.control(n).Digest() == hosts.control(0).Digest());
  }
}

// Guards against hosts that keep refusing a harmless request because only one
// host knows that it completed without a crash.
TEST_CASE("a complete response on any host must clear a request on all hosts") {
  Hosts hosts(4);
  for (const char* target : {"i-1/1", "i-2/1", "i-3/1"}) {
    hosts.Report(1, Crash("f", target));
  }
  REQUIRE(hosts.CountRefusing("f") == 4);

  SUBCASE("to a copy that was in flight through another host") {
    hosts.control(3).OnLocalUpdate(
        {.safe_reports = {{.fingerprint = "f", .version = "v1"}}});
    CHECK(hosts.CountRefusing("f") == 0);
    hosts.Advance(kPropagationTime);
    CHECK(hosts.CountRefusing("f") == 0);
  }

  SUBCASE("even when the message about it is lost") {
    hosts.drops_broadcasts = true;
    hosts.control(3).OnLocalUpdate(
        {.safe_reports = {{.fingerprint = "f", .version = "v1"}}});
    hosts.drops_broadcasts = false;
    hosts.Advance(kPropagationTime);
    CHECK(hosts.CountRefusing("f") == 0);
  }

  SUBCASE("but not a response of another version of the service") {
    hosts.control(3).OnLocalUpdate(
        {.crashes = {Crash("g", "i-1/1")},
         .safe_reports = {{.fingerprint = "g", .version = "v0"}}});
    CHECK(hosts.control(0).view()->suspected.contains("g"));
  }
}

// Guards against hosts that write and read records without end after many
// targets ended under load, so that changes of the configuration and of targets
// wait behind the records.
TEST_CASE("a loss of many targets must not load the store and the hosts") {
  constexpr size_t kHosts = 16;
  constexpr int kTargets = 60;
  constexpr int kRequestsPerTarget = 20;
  constexpr int kSeconds = 10;
  Hosts hosts(kHosts);
  const auto end_targets = [&hosts] {
    for (int n = 0; n < kTargets * kRequestsPerTarget; ++n) {
      hosts.Report(n % kHosts, Crash(absl::StrCat("f", n),
                                     absl::StrCat("t", n % kTargets, "/1")));
    }
  };
  const auto report_from_three_hosts = [&hosts] {
    for (size_t n = 1; n < 4; ++n) {
      hosts.Report(n, Crash("crashing", absl::StrCat("i-", n, "/1")));
    }
  };

  SUBCASE("while the hosts reach each other") {
    end_targets();
    hosts.Advance(seconds(kSeconds));
    // Each host reads each record.
    CHECK(hosts.record_bytes() <= kSeconds * kControlBytesPerSecond);
    CHECK(hosts.message_bytes <= kHosts * kSeconds * kControlBytesPerSecond);

    SUBCASE("and a request that crashes targets is still recognized") {
      report_from_three_hosts();
      hosts.Advance(kPropagationTime);
      CHECK(hosts.CountRefusing("crashing") == kHosts);

      SUBCASE("also after a restart of all hosts") {
        for (size_t n = 0; n < kHosts; ++n) {
          hosts.Start(n);
        }
        hosts.Advance(kTick);
        CHECK(hosts.CountRefusing("crashing") == kHosts);
      }
    }
  }

  SUBCASE("while hosts learn of each other's reports only bit by bit") {
    hosts.drops_broadcasts = true;
    end_targets();
    hosts.Advance(seconds(kSeconds));
    CHECK(hosts.record_bytes() <= kSeconds * kControlBytesPerSecond);
    CHECK(hosts.message_bytes <= kHosts * kSeconds * kControlBytesPerSecond);
  }

  SUBCASE("while the messages between hosts are lost") {
    hosts.peers_unreachable = true;
    end_targets();
    hosts.Advance(seconds(kSeconds));
    CHECK(hosts.record_bytes() <= kSeconds * kControlBytesPerSecond);

    SUBCASE("and a request that crashes targets is still recognized") {
      report_from_three_hosts();
      hosts.Advance(kPropagationTime);
      CHECK(hosts.CountRefusing("crashing") == kHosts);
    }
  }
}

TEST_CASE("many or false reports must cost bounded memory and messages") {
  Hosts hosts(3);
  PoisonUpdate update;
  for (int n = 0; n < 5'000; ++n) {
    update.crashes.push_back(Crash(absl::StrCat("f", n), "i-1/1"));
    if (update.crashes.size() == kMaxUpdateReports) {
      hosts.control(1).OnPeerUpdate(update);
      update = {};
    }
  }
  hosts.Advance(seconds(10));
  const size_t max_suspects = 2 * PoisonControlOptions{}.registry.max_requests;
  CHECK(hosts.control(0).view()->suspected.size() <= max_suspects);
  for (const std::string& it : hosts.control(1).Messages()) {
    CHECK(it.size() < 60'000);
  }
  for (const std::string& it : hosts.records) {
    CHECK(it.size() < 262'144);
  }
  // Within 0.5 s, each of three hosts sends 128 KB because digests differ, and
  // forwards 20 messages.
  CHECK(hosts.message_bytes <=
        3 * 20 * ((128 << 10) + 4 * 16'384 + 20 * 16'384));

  SUBCASE(
      "even if digests always differ because hosts keep different reports") {
    PoisonUpdate other;
    for (int n = 0; n < 100; ++n) {
      other.crashes.push_back(Crash(absl::StrCat("g", n), "i-2/1"));
    }
    hosts.peers_unreachable = true;
    hosts.control(2).OnPeerUpdate(other);
    hosts.peers_unreachable = false;
    const size_t before = hosts.message_bytes;
    hosts.Advance(seconds(10));
    CHECK(hosts.message_bytes - before <= 3 * 20 * ((128 << 10) + 4 * 16'384));
  }
}

TEST_CASE("damaged or oversized crash reports must be rejected") {
  const PoisonUpdate update{
      .crashes = {Crash("f", "i-1/1")},
      .safe_reports = {{.fingerprint = "g", .version = "v1"}}};
  REQUIRE(*DecodePoisonUpdate(EncodePoisonUpdate(update)) == update);
  const std::string huge(1'000'000, 'x');
  const std::string deep = std::string(50'000, '[') + std::string(50'000, ']');
  const std::vector<std::string> invalid_messages = {
      "",
      "P",
      "P[]",
      "P{}",
      R"(P{"crashes":[]})",
      R"(P{"crashes":{},"proofs":[]})",
      R"(P{"crashes":[7],"proofs":[]})",
      R"(P{"crashes":[["f","t","s","v"]],"proofs":[]})",
      R"(P{"crashes":[["f","t","s","v",-1]],"proofs":[]})",
      R"(P{"crashes":[["f","t","s","v",1e300]],"proofs":[]})",
      R"(P{"crashes":[["f","t","s","v",99999999999]],"proofs":[]})",
      R"(P{"crashes":[["","t","s","v",1]],"proofs":[]})",
      R"(P{"crashes":[["f","t",7,"v",1]],"proofs":[]})",
      R"(P{"crashes":[],"proofs":[["f"]]})",
      R"(P{"crashes":[],"crashes":[],"proofs":[]})",
      absl::StrCat(R"(P{"crashes":[[")", huge,
                   R"(","t","s","v",1]],"proofs":[]})"),
      absl::StrCat("P", deep),
      absl::StrCat(R"(P{"proofs":[],"crashes":)", deep, "}"),
      std::string("P\xff\x00\x01", 4)};
  for (const std::string& it : invalid_messages) {
    CAPTURE(it.substr(0, 80));
    CHECK_FALSE(DecodePoisonUpdate(it).ok());
  }
  PoisonUpdate many;
  for (size_t n = 0; n <= kMaxUpdateReports; ++n) {
    many.crashes.push_back(Crash("f", absl::StrCat("i-", n)));
  }
  CHECK_FALSE(DecodePoisonUpdate(EncodePoisonUpdate(many)).ok());
}

// Guards against hosts that lose all stored crashes after a restart because one
// entry of the record cannot be read.
TEST_CASE(
    "a malformed entry of the stored record must not affect the other "
    "entries") {
  const WallTime now{std::chrono::hours(500'000)};
  const std::string valid_record =
      EncodePoisonRecord({Crash("f", "i-1/1")}, now);
  const auto decoded = DecodePoisonRecord(valid_record, now + seconds(5));
  REQUIRE(decoded.ok());
  REQUIRE(decoded->size() == 1);
  CHECK(decoded->front().age == seconds(5));

  const std::string entry = valid_record.substr(valid_record.find("[["));
  for (const char* malformed :
       {"7", "[]", R"([1,2,3,4,5])", R"(["f","t","s","v","now"])",
        R"(["f","t","s","v",1e400])", R"(["f","t","s","v",-5])"}) {
    CAPTURE(malformed);
    const auto crashes = DecodePoisonRecord(
        absl::StrCat(R"({"crashes":[)", malformed, ",", entry.substr(1)), now);
    // A number beyond every type makes the whole text invalid JSON.
    if (crashes.ok()) {
      CHECK(crashes->size() == 1);
    }
  }

  SUBCASE("the clock of the host that wrote it is ahead") {
    const auto ahead = DecodePoisonRecord(valid_record, now - seconds(20));
    REQUIRE(ahead.ok());
    REQUIRE(ahead->size() == 1);
    CHECK(ahead->front().age == seconds(0));
  }
}

}  // namespace toucandock::entry
