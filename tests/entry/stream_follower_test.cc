#include "entry/stream_follower.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace toucandock::entry {
namespace {

using std::chrono::milliseconds;

// A store that answers reads at once and counts them.
struct FakeStore {
  StoreStatus read_status = StoreStatus::kHistoryLost;
  core::Offset newest_end = 5;
  int reads = 0;
  int newest_reads = 0;

  PlatformHooks Hooks() {
    return {.read_newest =
                [this](Stream, const std::function<void(ReadResult)>& handler) {
                  ++newest_reads;
                  handler({.status = StoreStatus::kOk, .end = newest_end});
                },
            .read =
                [this](Stream, core::Offset, milliseconds,
                       const std::function<void(ReadResult)>& handler) {
                  ++reads;
                  handler({.status = read_status});
                }};
  }
};

// A store that holds the records from 5 on and returns them after the time that
// the transfer of a large record takes.
struct SlowStore {
  boost::asio::io_context& io;
  milliseconds transfer;
  int reads = 0;
  StoreStatus status = StoreStatus::kOk;
  // Offset of the last record.
  core::Offset last = 5;
  core::Offset newest_end = 5;

  PlatformHooks Hooks() {
    return {.read_newest =
                [this](Stream, const std::function<void(ReadResult)>& handler) {
                  handler({.status = StoreStatus::kOk, .end = newest_end});
                },
            .read =
                [this](Stream, core::Offset from, milliseconds,
                       const std::function<void(ReadResult)>& handler) {
                  ++reads;
                  ReadResult result{.status = status, .end = last + 1};
                  for (core::Offset n = from; n <= last; ++n) {
                    result.records.push_back({.offset = n, .key = "config"});
                  }
                  auto timer =
                      std::make_shared<boost::asio::steady_timer>(io, transfer);
                  timer->async_wait([handler, result, timer](const auto&) {
                    handler(result);
                  });
                }};
  }
};

// A follower of a SlowStore, and what it has passed on.
struct SlowFollower {
  explicit SlowFollower(milliseconds transfer)
      : store{.io = io, .transfer = transfer},
        platform(store.Hooks()),
        follower(std::make_shared<StreamFollower>(
            io,
            platform,
            Stream::kConfig,
            FollowerOptions{},
            FollowerHooks{.on_newest = [](const ReadResult&) {},
                          .on_records =
                              [this](const ReadResult& result) {
                                for (const StoredRecord& it : result.records) {
                                  received.push_back(it.offset);
                                }
                              },
                          .on_answer = [] {},
                          .on_complete = [](core::TimePoint) {},
                          .on_history_lost = [] {},
                          .on_failure = [this] { ++failures; }})) {}

  void Run(milliseconds time) {
    io.restart();
    io.run_for(time);
  }

  boost::asio::io_context io;
  SlowStore store;
  const PlatformHooks platform;
  std::vector<core::Offset> received;
  int failures = 0;
  const std::shared_ptr<StreamFollower> follower;
};

}  // namespace

// Guards against a host that drops the store's complete answer because its peer
// has announced the same large record again in the meantime, and so never uses
// a large configuration over a slow link (issue 32).
TEST_CASE("a repeated request for a large record must not drop its answer") {
  SlowFollower host(milliseconds(200));
  host.follower->Start(milliseconds(0));
  host.Run(milliseconds(300));
  REQUIRE(host.received == std::vector<core::Offset>{5});
  host.received.clear();
  host.follower->SetRelayed(true);
  host.store.last = 6;
  const int reads = host.store.reads;
  // The peer announces the record more often than its transfer takes.
  for (int n = 0; n < 6 && host.received.empty(); ++n) {
    host.follower->ReadOnce();
    host.Run(milliseconds(100));
  }
  CHECK(host.received == std::vector<core::Offset>{6});
  // Reads at the same time would share the link and make each other slower.
  CHECK(host.store.reads - reads == 1);
}

// Guards against the same loss by other events that recur: a source that is
// lost and found again, a store that is, and a stream that is overdue.
TEST_CASE("events that recur must not drop the response to a prompt read") {
  SlowFollower host(milliseconds(200));
  host.follower->Start(milliseconds(0));
  host.Run(milliseconds(20));
  REQUIRE(host.follower->has_newest());
  host.follower->SetRelayed(true);
  const auto repeat = [&](const std::function<void(int)>& event) {
    host.follower->ReadOnce();
    for (int n = 0; n < 6 && host.received.empty(); ++n) {
      event(n);
      host.Run(milliseconds(100));
    }
    CHECK(host.received.size() == 1);
  };

  SUBCASE("its source is lost and found again") {
    repeat([&](int n) { host.follower->SetRelayed(n % 2 == 1); });
  }
  SUBCASE("the store is lost and found again") {
    host.follower->SetRelayed(false);
    repeat([&](int) { host.follower->Restart(milliseconds(0)); });
  }
  SUBCASE("the stream is overdue while the store is read") {
    host.follower->SetRelayed(false);
    repeat([&](int) { host.follower->ReadOnce(); });
  }
}

// Guards against a response that arrives late and puts older records in the
// place of newer ones that a peer has delivered meanwhile.
TEST_CASE("late responses must not bring back records that were replaced") {
  SlowFollower host(milliseconds(100));
  host.follower->Start(milliseconds(0));
  host.Run(milliseconds(20));
  REQUIRE(host.follower->has_newest());
  host.follower->SetRelayed(true);
  host.follower->Deliver({.status = StoreStatus::kOk,
                          .records = {{.offset = 5, .key = "config"},
                                      {.offset = 6, .key = "config"}},
                          .end = 7});
  host.Run(milliseconds(200));
  CHECK(host.received == std::vector<core::Offset>{5, 6});
  CHECK(host.follower->next() == 7);
}

// Guards against a host that ignores the records of a restored store for ever,
// because their offsets are below those that it has read.
TEST_CASE("a host must follow a store that has come back from a copy") {
  SlowFollower host(milliseconds(50));
  host.follower->Start(milliseconds(0));
  host.Run(milliseconds(20));
  REQUIRE(host.follower->next() == 5);

  SUBCASE("its era is known: the newest records are read again") {
    host.store.newest_end = core::MakePosition(1, 2);
    host.store.last = core::MakePosition(1, 2);
    host.follower->OnStoreEra(1, milliseconds(0));
    CHECK_FALSE(host.follower->has_newest());
    host.Run(milliseconds(120));
    CHECK(host.follower->next() == core::MakePosition(1, 3));
    CHECK(host.received == std::vector<core::Offset>{core::MakePosition(1, 2)});

    SUBCASE("but only once for each era") {
      host.follower->OnStoreEra(1, milliseconds(0));
      CHECK(host.follower->has_newest());
    }
    SUBCASE("and records of a peer that is still in the earlier era are old") {
      host.follower->Deliver({.status = StoreStatus::kOk,
                              .records = {{.offset = 9, .key = "config"}},
                              .end = 10});
      CHECK(host.received.size() == 1);
      CHECK(host.follower->next() == core::MakePosition(1, 3));
    }
  }

  SUBCASE("a peer has read its newest records first") {
    host.follower->SetRelayed(true);
    host.follower->DeliverNewest(
        {.status = StoreStatus::kOk, .end = core::MakePosition(1, 2)});
    CHECK(host.follower->next() == core::MakePosition(1, 2));

    SUBCASE("and those of the earlier era that arrive late have no effect") {
      host.follower->DeliverNewest({.status = StoreStatus::kOk, .end = 8});
      CHECK(host.follower->next() == core::MakePosition(1, 2));
    }
  }
}

// Guards against a host that waits for seconds after the store is back, because
// it learned of that while a read hung which then failed.
TEST_CASE("a restart during a read that fails must not be forgotten") {
  SlowFollower host(milliseconds(100));
  host.store.status = StoreStatus::kUnknown;
  host.follower->Start(milliseconds(0));
  // The first read fails, and so does the second one when the store is back.
  host.Run(milliseconds(150));
  REQUIRE(host.follower->has_newest());
  host.follower->ReadOnce();
  host.store.status = StoreStatus::kOk;
  host.follower->Restart(milliseconds(10));
  host.Run(milliseconds(400));
  CHECK(host.failures == 0);
  CHECK(host.follower->next() == 6);
}

// Guards against a host that no longer gets records because a single read of
// the store failed or found its records gone while a peer relayed the stream.
TEST_CASE("a host that takes records from a peer must not lose the stream") {
  boost::asio::io_context io;
  FakeStore store;
  const PlatformHooks platform = store.Hooks();
  std::shared_ptr<StreamFollower> follower;
  int failures = 0;
  follower = std::make_shared<StreamFollower>(
      io, platform, Stream::kTargets, FollowerOptions{},
      FollowerHooks{
          .on_newest = [&](const ReadResult&) { follower->SetRelayed(true); },
          .on_records = [](const ReadResult&) {},
          .on_answer = [] {},
          .on_complete = [](core::TimePoint) {},
          .on_history_lost = [] {},
          .on_failure = [&] { ++failures; }});
  follower->Start(milliseconds(0));
  io.run_for(milliseconds(50));
  REQUIRE(follower->has_newest());
  REQUIRE(store.newest_reads == 1);
  // While the stream is relayed, the store is not read.
  REQUIRE(store.reads == 0);

  SUBCASE("it reads the store once, which no longer keeps the records") {
    store.newest_end = 9;
    follower->ReadOnce();
    io.restart();
    io.run_for(milliseconds(50));
    CHECK(store.reads == 1);
    CHECK(store.newest_reads == 2);
    CHECK(follower->has_newest());
    CHECK(follower->next() == 9);
  }

  SUBCASE("it reads the store once, which does not answer") {
    store.read_status = StoreStatus::kUnavailable;
    follower->ReadOnce();
    io.restart();
    io.run_for(milliseconds(150));
    // The peer's next reply shows again which records are missing.
    CHECK(store.reads == 1);
    CHECK(follower->has_newest());
  }

  SUBCASE("the peer has read further than the records that it sends") {
    follower->Deliver({.status = StoreStatus::kOk, .end = 8});
    CHECK(follower->next() == 8);
  }
}

}  // namespace toucandock::entry
