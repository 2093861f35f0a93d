#include "entry/peer_json.h"

#include <doctest/doctest.h>

#include <memory>

#include "entry/record_cache.h"

namespace toucandock::entry {
namespace {

using core::keyspace::OwnershipTable;

OwnershipTable Table() {
  return {.service = "s",
          .writer = "h/1",
          .report_address = "10.0.0.1:7620",
          .assignments = {{.keys = {0, 99},
                           .owner = {.id = "t1", .start_time_ms = 5},
                           .serving = true},
                          {.keys = {100, core::keyspace::kLastKey},
                           .owner = {.id = "t2", .start_time_ms = 6},
                           .previous = {{.id = "t1", .start_time_ms = 5}}}},
          .hosts = {"10.0.0.2:7620", "10.0.0.3:7620"},
          .earlier_hosts = {{"10.0.0.1:7620"}, {"10.0.0.4:7620"}}};
}

}  // namespace

// Guards against hosts that route by different owners because one of them
// decoded a record differently or accepted a damaged one.
TEST_CASE("a record about owners must mean the same to every host") {
  const OwnershipTable table = Table();
  const std::string text = EncodeOwnership(table);
  const auto decoded = DecodeOwnership(text);
  REQUIRE(decoded.ok());
  CHECK(decoded->assignments == table.assignments);
  CHECK(decoded->writer == table.writer);
  CHECK(decoded->hosts == table.hosts);
  CHECK(decoded->earlier_hosts == table.earlier_hosts);

  // Hosts of earlier versions read the same text while the store is in era 0.
  SUBCASE("a record states its position only in a later era of the store") {
    CHECK(text.find("position") == std::string::npos);
    OwnershipTable later = table;
    later.offset = core::MakePosition(2, 7);
    later.holders_unknown = true;
    const std::string stated = EncodeOwnership(later);
    const auto place = [&](core::Era era, std::uint64_t offset) {
      return TableOf({.offset = core::MakePosition(era, offset),
                      .key = "s",
                      .value = stated});
    };
    CHECK(place(2, 7)->offset == later.offset);
    CHECK(place(2, 7)->holders_unknown);

    SUBCASE("and keeps it in a copy of the store") {
      CHECK(place(3, 7)->offset == later.offset);
      CHECK(TableOf({.offset = core::MakePosition(3, 7), .value = text})
                ->offset == 7);
    }
    SUBCASE("and is void where it cannot have been written") {
      CHECK_FALSE(place(2, 8).ok());
      CHECK_FALSE(place(3, 6).ok());
      CHECK_FALSE(place(1, 7).ok());
    }
  }
  SUBCASE("a record that leaves out keys is rejected") {
    OwnershipTable broken = table;
    broken.assignments[1].keys.first = 101;
    CHECK_FALSE(DecodeOwnership(EncodeOwnership(broken)).ok());
  }
  SUBCASE("a record that refers to a target it does not list is rejected") {
    std::string broken = text;
    const size_t n = broken.find("[0,99,0,1]");
    REQUIRE(n != std::string::npos);
    broken.replace(n, 10, "[0,99,9,1]");
    CHECK_FALSE(DecodeOwnership(broken).ok());
  }
  SUBCASE("a list of hosts that holds anything but addresses is rejected") {
    std::string broken = text;
    const size_t n = broken.find("\"10.0.0.2:7620\"");
    REQUIRE(n != std::string::npos);
    broken.replace(n, 15, "17");
    CHECK_FALSE(DecodeOwnership(broken).ok());
  }
  SUBCASE("a truncated record is rejected") {
    CHECK_FALSE(DecodeOwnership(text.substr(0, text.size() / 2)).ok());
  }
}

// Guards against a heartbeat or load report that loses a field on the way, and
// against datagrams that are accepted with wrong members.
TEST_CASE("messages between hosts must arrive as they were sent") {
  const PeerHeartbeat answer{.is_answer = true,
                             .poison_digest = {.all = 17, .repeated = 5},
                             .config = {.next = 3, .fresh = true},
                             .targets = {.next = 70},
                             .ownership = {.next = 9, .fresh = true},
                             .store_up = std::chrono::milliseconds(3'200),
                             .stamp = (1ULL << 63) + 1,
                             .hosts = 12,
                             .is_leader = true,
                             .substitutes = {"10.0.0.1:7620", "10.0.0.2:7620"}};
  CHECK(*DecodeHeartbeat(EncodeHeartbeat(answer)) == answer);
  const PeerHeartbeat heartbeat{
      .store_lost = true,
      .poison_digest = {.all = 4'000'000'000, .only_repeated = true},
      .store_up = std::chrono::milliseconds(40),
      .ownership_end = 5'000'000'000,
      .follows_receiver = true,
      .stamp = (9ULL << 40) + 7};
  CHECK(*DecodeHeartbeat(EncodeHeartbeat(heartbeat)) == heartbeat);
  PeerHeartbeat relay_answer = answer;
  relay_answer.is_leader = false;
  relay_answer.is_relay = true;
  relay_answer.leader_digest = {.all = 9, .repeated = 8, .only_repeated = true};
  CHECK(*DecodeHeartbeat(EncodeHeartbeat(relay_answer)) == relay_answer);
  CHECK_FALSE(DecodeHeartbeat("[1]").ok());
  CHECK_FALSE(DecodeHeartbeat("[1,2,3]").ok());
  CHECK_FALSE(DecodeHeartbeat("[1,4294967296]").ok());
  CHECK_FALSE(DecodeHeartbeat("[1,1,1,1,1,1,1,1,1,1,7]").ok());
  CHECK_FALSE(DecodeHeartbeat(R"([1,1,1,1,1,1,1,"x",1])").ok());

  const core::keyspace::LoadReport report{
      .service = "s",
      .keys = {1, 65'535},
      .speeds = {{.target_id = "t",
                  .answers = 3,
                  .mean_time = std::chrono::milliseconds(120)}}};
  CHECK(*DecodeLoadReport(EncodeLoadReport(report)) == report);
  CHECK_FALSE(DecodeLoadReport(R"({"service":"s","keys":[65536]})").ok());
}

// Guards against a host that received a table as changes and passes on an empty
// record to a host that needs the whole table.
TEST_CASE("a table that was received as changes must be passed on in whole") {
  const core::keyspace::OwnershipTable table{
      .service = "s",
      .offset = 7,
      .assignments = {
          {.owner = {.id = "a", .start_time_ms = 5}, .serving = true}}};
  const ReadResult sent{
      .status = StoreStatus::kOk,
      .records = {{.offset = 7,
                   .key = "s",
                   .table =
                       std::make_shared<const core::keyspace::OwnershipTable>(
                           table)}},
      .end = 8};
  const auto received = DecodeRecords(EncodeRecords(sent));
  REQUIRE(received.ok());
  REQUIRE(received->records.size() == 1);
  const auto passed_on = TableOf(received->records.front());
  REQUIRE(passed_on.ok());
  CHECK(passed_on->offset == 7);
  CHECK(passed_on->assignments == table.assignments);
  CHECK(EncodedBytes(sent.records.front()) > sent.records.front().key.size());
}

// Guards against hosts that apply other changes than the leader computed, or
// part of a damaged update.
TEST_CASE("changes of owners must reach other hosts as they were decided") {
  const core::keyspace::TargetInstance a{.id = "a", .start_time_ms = 5};
  const core::keyspace::TargetInstance b{.id = "b", .start_time_ms = 6};
  const core::keyspace::OwnershipTable base{
      .service = "s", .offset = 3, .assignments = {{.owner = a}}};
  core::keyspace::OwnershipTable next = base;
  next.offset = 8;
  next.hosts = {"10.0.0.2:7620"};
  next.earlier_hosts = {{"10.0.0.1:7620"}};
  next.assignments = {
      {.keys = {0, 9}, .owner = a, .serving = true},
      {.keys = {10, core::keyspace::kLastKey}, .owner = b, .previous = {a}}};
  const OwnershipUpdate update{
      .end = 9, .deltas = {core::keyspace::ComputeDelta(base, next)}};
  const std::string text = EncodeOwnershipUpdate(update);
  const auto decoded = DecodeOwnershipUpdate(text);
  REQUIRE(decoded.ok());
  CHECK(decoded->end == 9);
  REQUIRE(decoded->deltas.size() == 1);
  const auto applied = core::keyspace::ApplyDelta(base, decoded->deltas[0]);
  REQUIRE(applied);
  CHECK(applied->offset == 8);
  CHECK(applied->assignments == next.assignments);
  CHECK(applied->hosts == next.hosts);
  CHECK(applied->earlier_hosts == next.earlier_hosts);
  CHECK_FALSE(DecodeOwnershipUpdate(text.substr(0, text.size() / 2)).ok());
  CHECK_FALSE(DecodeOwnershipUpdate(R"({"end":1,"deltas":[{}]})").ok());
}

// A gap would hide changes from the peer for as long as it does not read the
// store. It could arise when records were dropped from the cache, or when the
// stream was read again from its newest records.
TEST_CASE("a peer must never be given records with a gap") {
  RecordCache cache;
  cache.StartAt(10);
  cache.Add({.records = {{.offset = 10, .key = "a", .value = "1"},
                         {.offset = 12, .key = std::string("\x00", 1)}}});
  const auto records = cache.From(11);
  REQUIRE(records);
  CHECK(records->records.size() == 1);
  const auto decoded = DecodeRecords(EncodeRecords(*records));
  REQUIRE(decoded.ok());
  CHECK(decoded->records.front().key == std::string("\x00", 1));
  CHECK(decoded->end == 13);

  SUBCASE("earlier records are reported as not kept") {
    CHECK_FALSE(cache.From(9));
  }
  SUBCASE("the stream was read again from its newest records") {
    cache.StartAt(40);
    CHECK_FALSE(cache.From(13));
    CHECK(cache.From(40)->records.empty());
  }
}

}  // namespace toucandock::entry
