#include "entry/peer_relay.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "entry/clock.h"

namespace toucandock::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The users' shortest time between the acknowledgement of a configuration and
// the requests that must be handled by it.
constexpr milliseconds kApplyLimit{2'000};

// A store with one record in each stream, to which the test adds records. Reads
// wait for new records like those of the users' store.
class WaitingStore {
 public:
  explicit WaitingStore(boost::asio::io_context& io) : io_(io) {}

  PlatformHooks Hooks() {
    return {.read_newest =
                [this](Stream stream,
                       const std::function<void(ReadResult)>& handler) {
                  ++reads;
                  const auto& records = records_[stream];
                  boost::asio::post(io_, [handler, records] {
                    handler({.status = StoreStatus::kOk,
                             .records = records,
                             .end = records.size()});
                  });
                },
            .read =
                [this](Stream stream, core::Offset from, milliseconds wait,
                       std::function<void(ReadResult)> handler) {
                  ++reads;
                  Wait(stream, from, wait, std::move(handler));
                }};
  }

  void Append(Stream stream,
              const std::string& key,
              const std::string& value = "v") {
    auto& records = records_[stream];
    records.push_back({.offset = records.size(), .key = key, .value = value});
  }

  int reads = 0;
  // How long the answer to a read takes that returns more than kLargeBytes.
  milliseconds large_transfer{0};

 private:
  static constexpr size_t kLargeBytes = 16 << 10;

  void Wait(Stream stream,
            core::Offset from,
            milliseconds left,
            std::function<void(ReadResult)> handler) {
    static constexpr milliseconds kStep{10};
    const auto& records = records_[stream];
    if (records.size() > from || left <= milliseconds(0)) {
      size_t bytes = 0;
      for (size_t n = from; n < records.size(); ++n) {
        bytes += records[n].value.size();
      }
      auto timer = std::make_shared<boost::asio::steady_timer>(
          io_, bytes > kLargeBytes ? large_transfer : milliseconds(0));
      timer->async_wait([handler, records, from, timer](const auto&) {
        handler(
            {.status = StoreStatus::kOk,
             .records = {records.begin() + static_cast<std::ptrdiff_t>(from),
                         records.end()},
             .end = records.size()});
      });
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, kStep);
    timer->async_wait([this, stream, from, left, timer,
                       handler = std::move(handler)](const auto&) {
      Wait(stream, from, left - kStep, handler);
    });
  }

  boost::asio::io_context& io_;
  std::map<Stream, std::vector<StoredRecord>> records_;
};

// The hosts of a fleet, on one thread. The first one is the leader.
class RelayedFleet {
 public:
  explicit RelayedFleet(int hosts) : store(io_), platform_(store.Hooks()) {
    for (const Stream stream :
         {Stream::kConfig, Stream::kTargets, Stream::kOwnership}) {
      store.Append(stream, "first");
    }
    for (int n = 0; n < hosts; ++n) {
      Add();
    }
  }

  // Adds a host that starts now.
  void Add() {
    hosts_.push_back(std::make_unique<Host>());
    Host& host = *hosts_.back();
    host.platform = HooksOf(host);
    const bool is_leader = hosts_.size() == 1;
    for (const Stream stream :
         {Stream::kConfig, Stream::kTargets, Stream::kOwnership}) {
      host.followers[stream] = std::make_shared<StreamFollower>(
          io_, host.platform, stream, FollowerOptions{},
          FollowerHooks{.on_newest =
                            [&host, stream](const ReadResult& it) {
                              host.relay->NoteRecords(stream, it, true);
                            },
                        .on_records =
                            [&host, stream](const ReadResult& it) {
                              host.relay->NoteRecords(stream, it, false);
                            },
                        .on_answer = [] {},
                        .on_complete =
                            [&host, stream](core::TimePoint as_of) {
                              host.relay->NoteComplete(stream, as_of);
                            },
                        .on_history_lost = [] {},
                        .on_failure = [] {}});
    }
    host.relay = std::make_unique<PeerRelay>(
        io_, "127.0.0.1", 0, host.followers, core::relay::SourceOptions{},
        core::relay::FreshnessOptionsFor(kApplyLimit),
        RelayProfile{.failure_domain = absl::StrCat(hosts_.size() % 3),
                     .capacity = 1},
        PeerRelayHooks{
            .on_load =
                [&host](const core::keyspace::LoadReport& it) {
                  ++host.load_reports;
                  host.keys += it.keys.size();
                },
            .load_destination =
                [this](const std::string&) {
                  return hosts_.front()->relay->address();
                },
            .is_source = [this,
                          is_leader] { return is_leader && !is_leader_lost_; },
            .is_leader = [is_leader] { return is_leader; },
            .sources =
                [this, is_leader] {
                  return is_leader ? std::set<std::string>()
                                   : std::set{hosts_.front()->relay->address()};
                },
            .store_lost = [] { return false; },
            .store_up_since = [] { return LeaseTime(); },
            .on_store_confirmed_by_peer = [](core::TimePoint) {},
            .on_store_up_reported = [](core::TimePoint) {},
            .is_member = [&host] { return host.relay->NeedsMembership(); },
            .newest_table =
                [this] {
                  return NewestTable{
                      .address = hosts_.front()->relay->address(), .end = 5};
                },
            .is_active = [this,
                          is_leader] { return is_leader && !is_leader_lost_; },
            .on_host_report =
                [&host](const core::keyspace::HostReport& it) {
                  host.reports[it.host] = it;
                },
            .on_host_count = [&host](int n) { host.known_hosts = n; },
            .on_leader_lost = [] {},
            .poison_digest =
                [] { return core::request::PoisonDigest{.all = 1}; },
            .poison_messages = [] { return std::vector<std::string>(); },
            .on_poison_update = [](const PoisonUpdate&, const std::string&) {},
            .on_leader_digest = [](const core::request::PoisonDigest&) {},
            .admitted_version = [&host] { return host.admitted.version(); },
            .admitted_update =
                [&host](std::uint32_t known_version) {
                  return host.admitted.MakeUpdate(known_version,
                                                  LeaseClockNow());
                },
            .on_admitted =
                [&host](const core::keyspace::AdmittedUpdate& update,
                        core::TimePoint received_at) {
                  host.admitted.OnUpdate(update, received_at);
                }});
    REQUIRE(host.relay->Start().ok());
    for (const auto& [stream, follower] : host.followers) {
      follower->Start(milliseconds(0));
    }
  }

  void Run(milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }

  // Runs until all hosts have read as many records of the stream.
  bool RunUntilAllHave(Stream stream, core::Offset next, milliseconds limit) {
    const auto end = steady_clock::now() + limit;
    while (steady_clock::now() < end) {
      Run(milliseconds(10));
      if (CountWith(stream, next) == hosts_.size()) {
        return true;
      }
    }
    return false;
  }

  size_t CountMembers() const {
    size_t n = 0;
    for (const auto& it : hosts_) {
      n += it->relay->NeedsMembership() ? 1 : 0;
    }
    return n;
  }

  // Sends the load of one request from each host.
  void SendLoad() {
    for (const auto& it : hosts_) {
      it->relay->SendLoad({.service = "s", .keys = {7}});
    }
  }

  // Makes one of the members besides the leader, which are relays, leave.
  // Returns its position.
  size_t MakeRelayLeave() {
    for (size_t n = 1; n < hosts_.size(); ++n) {
      if (hosts_[n]->relay->NeedsMembership()) {
        hosts_[n]->relay->BeginLeaving();
        return n;
      }
    }
    return 0;
  }

  bool IsMember(size_t n) const { return hosts_[n]->relay->NeedsMembership(); }

  // The leader no longer answers.
  void LoseLeader() { is_leader_lost_ = true; }

  // Asks a host how many hosts it counts. Returns nothing if it does not answer
  // in time.
  std::optional<int> HostsCountedBy(size_t n) {
    using boost::asio::ip::udp;
    constexpr milliseconds kAnswerTime{100};
    udp::socket socket(io_, udp::endpoint(udp::v4(), 0));
    const auto to = *net::ParseEndpoint(address(n));
    socket.send_to(
        boost::asio::buffer(EncodeHeartbeat(PeerHeartbeat{.hosts = 0})),
        {to.address(), to.port()});
    std::string text(4'096, ' ');
    udp::endpoint from;
    std::optional<int> hosts;
    socket.async_receive_from(
        boost::asio::buffer(text), from, [&](const auto& ec, size_t size) {
          const auto answer = DecodeHeartbeat(text.substr(0, size));
          if (!ec && answer.ok()) {
            hosts = answer->hosts;
          }
        });
    Run(kAnswerTime);
    socket.close();
    Run(milliseconds(1));
    return hosts;
  }

  // The store no longer answers the leader and the relays. Their calls time
  // out.
  void CutMembersFromStore() {
    for (const auto& it : hosts_) {
      it->is_cut = it->relay->NeedsMembership();
    }
  }

  // The store no longer answers the leader and the hosts that are no relays.
  void CutOthersFromStore() {
    for (const auto& it : hosts_) {
      it->is_cut = it == hosts_.front() || !it->relay->NeedsMembership();
    }
  }

  // The same as TimeUntilConnectedHave() for all hosts but the leader.
  std::optional<milliseconds> TimeUntilMembersAndTheirHostsHave(
      Stream stream,
      core::Offset next,
      milliseconds limit) {
    const auto start = steady_clock::now();
    while (steady_clock::now() - start < limit) {
      Run(milliseconds(10));
      if (CountWith(stream, next) + 1 >= hosts_.size()) {
        return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                        start);
      }
    }
    return std::nullopt;
  }

  // Runs until all hosts that reach the store have read as many records of the
  // stream. Returns the time that it took, or nothing if it is longer.
  std::optional<milliseconds> TimeUntilConnectedHave(Stream stream,
                                                     core::Offset next,
                                                     milliseconds limit) {
    const auto start = steady_clock::now();
    while (steady_clock::now() - start < limit) {
      Run(milliseconds(10));
      if (std::all_of(hosts_.begin(), hosts_.end(), [&](const auto& it) {
            return it->is_cut || it->followers.at(stream)->next() >= next;
          })) {
        return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                        start);
      }
    }
    return std::nullopt;
  }

  // Asks the leader for its newest records. Returns the status of the answer.
  unsigned FetchNewest(Stream stream) {
    net::HttpClient client(
        io_, *net::ParseEndpoint(hosts_.front()->relay->address()));
    net::HttpRequest request{
        boost::beast::http::verb::get,
        absl::StrCat("/newest?stream=", static_cast<int>(stream)), 11};
    unsigned status = 0;
    client.Call(std::move(request), milliseconds(1'000),
                [&](const net::CallAnswer& answer) {
                  status = answer.response.result_int();
                });
    Run(milliseconds(500));
    return status;
  }

  // The last report of each host to the leader.
  const std::map<std::string, core::keyspace::HostReport>& reports() const {
    return hosts_.front()->reports;
  }
  std::string address(size_t n) const { return hosts_[n]->relay->address(); }
  int load_reports() const { return hosts_.front()->load_reports; }
  size_t keys() const { return hosts_.front()->keys; }
  int known_hosts(size_t n) const { return hosts_[n]->known_hosts; }
  core::keyspace::AdmittedList& admitted(size_t n) {
    return hosts_[n]->admitted;
  }
  size_t size() const { return hosts_.size(); }

 private:
  struct Host {
    PlatformHooks platform;
    bool is_cut = false;
    Followers followers;
    std::unique_ptr<PeerRelay> relay;
    int load_reports = 0;
    size_t keys = 0;
    int known_hosts = 0;
    core::keyspace::AdmittedList admitted{milliseconds(1'000)};
    std::map<std::string, core::keyspace::HostReport> reports;
  };

  static std::optional<core::TimePoint> LeaseTime() {
    return core::TimePoint(std::chrono::seconds(1));
  }

  // The calls of a host that is cut off end after the time-out of the client,
  // also those that were made before.
  PlatformHooks HooksOf(Host& host) {
    static constexpr milliseconds kReadMargin{1'000};
    const auto unless_cut = [this, &host](milliseconds timeout, auto handler) {
      return [this, &host, timeout, handler](const ReadResult& result) {
        if (!host.is_cut) {
          handler(result);
          return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, timeout);
        timer->async_wait([handler, timer](const auto&) {
          handler({.status = StoreStatus::kUnknown});
        });
      };
    };
    return {.read_newest =
                [this, unless_cut](Stream stream, auto handler) {
                  platform_.read_newest(stream,
                                        unless_cut(kReadMargin, handler));
                },
            .read =
                [this, unless_cut](Stream stream, core::Offset from,
                                   milliseconds wait, auto handler) {
                  platform_.read(stream, from, wait,
                                 unless_cut(kReadMargin, handler));
                }};
  }

  size_t CountWith(Stream stream, core::Offset next) const {
    size_t n = 0;
    for (const auto& it : hosts_) {
      n += it->followers.at(stream)->next() >= next ? 1 : 0;
    }
    return n;
  }

  bool is_leader_lost_ = false;
  boost::asio::io_context io_;

 public:
  WaitingStore store;

 private:
  PlatformHooks platform_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

// Time in which a change must reach all hosts: half of the users' shortest
// bound for the use of a leaving target.
constexpr milliseconds kSpreadLimit{1'000};

}  // namespace

// Seen at 300 hosts: heartbeats, fetches and load reports of all hosts met one
// leader, and configurations were in force 7.7 s late.
TEST_CASE("a large fleet must learn of changes without asking one host") {
  constexpr int kHosts = 60;
  RelayedFleet fleet(kHosts);
  // The leader appoints relays, and the hosts change to them.
  fleet.Run(milliseconds(3'500));
  REQUIRE(fleet.known_hosts(kHosts - 1) >= kHosts);
  const size_t members = fleet.CountMembers();
  // The leader and the relays, about the square root of the hosts.
  CHECK(members >= 8);
  CHECK(members <= 12);

  SUBCASE("a change reaches all hosts in time, and few of them read it") {
    fleet.store.reads = 0;
    fleet.store.Append(Stream::kConfig, "second");
    CHECK(fleet.RunUntilAllHave(Stream::kConfig, 2, kSpreadLimit));
    CHECK(fleet.store.reads < kHosts / 4);

    SUBCASE("also while a relay leaves, which is replaced") {
      const size_t relay = fleet.MakeRelayLeave();
      REQUIRE(relay > 0);
      fleet.store.Append(Stream::kTargets, "second");
      CHECK(fleet.RunUntilAllHave(Stream::kTargets, 2, kSpreadLimit));
      fleet.Run(milliseconds(1'000));
      CHECK_FALSE(fleet.IsMember(relay));
    }
  }

  SUBCASE("a host that changes its relay is not counted twice") {
    fleet.MakeRelayLeave();
    // Hosts learn of the other relays with one heartbeat, and the leader of the
    // hosts of each relay with up to two more.
    fleet.Run(milliseconds(1'300));
    // Until the next heartbeat of its earlier relay, a host may count twice.
    int fewest = 2 * kHosts;
    for (int n = 0; n < 7; ++n) {
      fleet.Run(milliseconds(100));
      fewest = std::min(fewest, fleet.known_hosts(kHosts - 1));
    }
    CHECK(fewest <= kHosts);
  }

  SUBCASE("load reports arrive summed up, and none is lost or counted twice") {
    const int before = fleet.load_reports();
    const size_t keys = fleet.keys();
    fleet.SendLoad();
    fleet.Run(milliseconds(700));
    CHECK(fleet.keys() - keys == kHosts);
    // Each relay sends one or two sums, depending on when it sends the first.
    CHECK(fleet.load_reports() - before <= 2 * static_cast<int>(members));
  }

  SUBCASE("the list of admitted fractions reaches all hosts while it holds") {
    fleet.admitted(0).SetComputed({{"s", {{.keys = {5, 5}, .fraction = 0.5}}}},
                                  LeaseClockNow());
    // Two steps of one interval of heartbeats each.
    fleet.Run(milliseconds(700));
    size_t informed = 0;
    for (size_t n = 0; n < fleet.size(); ++n) {
      informed +=
          fleet.admitted(n).lists() == fleet.admitted(0).lists() ? 1 : 0;
    }
    CHECK(informed == kHosts);
  }

  SUBCASE("a host that starts takes the newest records from its relay") {
    fleet.Add();
    CHECK(fleet.RunUntilAllHave(Stream::kConfig, 1, kSpreadLimit));
    fleet.store.Append(Stream::kConfig, "second");
    CHECK(fleet.RunUntilAllHave(Stream::kConfig, 2, kSpreadLimit));
  }
}

// Guards against hosts that start to read a configuration again with each
// message of their relay and use none of the answers, because the transfer
// takes longer than the time between two messages (issue 32: configurations in
// force up to 9 s late on hosts with 10 Mbit/s).
TEST_CASE("a large configuration must reach hosts with slow links in time") {
  // Users' bound for the use of a configuration in a fleet of this size.
  constexpr milliseconds kLargeFleetApplyLimit{2'500};
  RelayedFleet fleet(60);
  fleet.Run(milliseconds(3'500));
  REQUIRE(fleet.CountMembers() >= 8);
  // 240 KB at 10 Mbit/s beside as much other traffic.
  fleet.store.large_transfer = milliseconds(400);
  fleet.store.Append(Stream::kConfig, "config", std::string(240 << 10, 'x'));
  CHECK(fleet.RunUntilAllHave(Stream::kConfig, 2, kLargeFleetApplyLimit));
}

// Guards against hosts that keep an older configuration because their leader
// and relays, which they take for up to date, no longer hear from the store.
TEST_CASE("a change must reach each host that reaches the store in time") {
  constexpr int kHosts = 60;
  RelayedFleet fleet(kHosts);
  fleet.Run(milliseconds(3'500));
  REQUIRE(fleet.known_hosts(kHosts - 1) >= kHosts);

  SUBCASE("after the leader and all relays have lost the store") {
    fleet.CutMembersFromStore();
    fleet.store.Append(Stream::kConfig, "second");
    const auto time =
        fleet.TimeUntilConnectedHave(Stream::kConfig, 2, milliseconds(10'000));
    REQUIRE(time);
    CHECK(*time <= kApplyLimit);
    // A host reads the store when its records are 0.65 of the limit old, which
    // it checks at each heartbeat (decision 0012).
    constexpr milliseconds kNoticeLimit{1'700};
    CHECK(*time <= kNoticeLimit);
  }

  SUBCASE(
      "or that takes records from a relay, after all others lost the store") {
    fleet.CutOthersFromStore();
    fleet.store.Append(Stream::kConfig, "second");
    const auto time = fleet.TimeUntilMembersAndTheirHostsHave(
        Stream::kConfig, 2, milliseconds(10'000));
    REQUIRE(time);
    CHECK(*time <= kApplyLimit);
  }
}

// Guards against a fleet that seems several times as large as it is, because
// each host asks several substitutes of the leader. Each host would take too
// small a share of what all have in common.
TEST_CASE(
    "hosts that ask a substitute of the leader must not be counted by it") {
  RelayedFleet fleet(12);
  fleet.Run(milliseconds(1'200));
  fleet.LoseLeader();
  // The others notice it after 450 ms and ask the substitutes each 300 ms.
  fleet.Run(milliseconds(1'100));
  int substitutes = 0;
  for (size_t n = 1; n < fleet.size(); ++n) {
    CAPTURE(n);
    if (const auto hosts = fleet.HostsCountedBy(n)) {
      ++substitutes;
      CHECK(*hosts == 1);
    }
  }
  CHECK(substitutes == 4);
}

// Guards against a leader that is busy with sending all its records to hosts
// that start at the same time.
// A leader that took a report for newer than it is would act without the store
// although the sender has followed a successor since then.
TEST_CASE("a leader must learn from each member how old its report is") {
  RelayedFleet fleet(3);
  const auto started = LeaseClockNow();
  fleet.Run(milliseconds(1'200));
  REQUIRE(fleet.reports().size() == 2);
  for (size_t n = 1; n < fleet.size(); ++n) {
    CAPTURE(n);
    const auto it = fleet.reports().find(fleet.address(n));
    REQUIRE(it != fleet.reports().end());
    const core::keyspace::HostReport& report = it->second;
    CHECK_FALSE(report.store_lost);
    CHECK(report.store_up > core::Duration{});
    CHECK(report.records_end == 5);
    CHECK(report.follows_receiver);
    REQUIRE(report.sent_after);
    CHECK(*report.sent_after >= started);
    CHECK(*report.sent_after <= LeaseClockNow());
  }
}

TEST_CASE("a leader that is not a relay must not send large listings") {
  RelayedFleet fleet(2);
  fleet.Run(milliseconds(1'000));

  SUBCASE("small ones are sent") {
    CHECK(fleet.FetchNewest(Stream::kConfig) == 200);
  }
  SUBCASE("large ones are refused, so that the host reads the store") {
    for (int n = 0; n < 200; ++n) {
      fleet.store.Append(Stream::kConfig, absl::StrCat("key", n),
                         std::string(1'024, 'x'));
    }
    fleet.Run(milliseconds(1'500));
    CHECK(fleet.FetchNewest(Stream::kConfig) == 413);
  }
}

}  // namespace toucandock::entry
