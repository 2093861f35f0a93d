#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "codec/record_json.h"
#include "http/client.h"
#include "platform/host_list_client.h"
#include "platform/log_client.h"
#include "platform/log_protocol.h"
#include "support/cut_server.h"
#include "support/fake_server.h"

namespace toucandock::platform {
namespace {

using core::control::Record;
using core::control::TermRecord;

const Record kRecord{"r1", "a", {2, "a"}, 3, TermRecord{}};

LogOptions OptionsFor(const std::string& address) {
  return {.address = address,
          .stream = "s",
          .append_timeout = std::chrono::milliseconds(500),
          .poll_wait = std::chrono::milliseconds(0)};
}

std::string Page(const std::vector<std::string>& records) {
  return EncodePage({.end = 3, .first = 0, .records = records});
}

struct BadAnswer {
  const char* what;
  int status;
  std::string body;
};

}  // namespace

// Guards against a leader that publishes a record which is not in the log
// because an error or a malformed response was taken for success.
TEST_CASE("an append must count as stored only when the log says so") {
  support::FakeServer server;
  http::Client client;
  LogClient log(client, OptionsFor(server.address()));

  SUBCASE("a valid response") {
    server.Answer(200, "{\"offset\":7}");
    const auto offset = log.Append(kRecord);
    REQUIRE(offset.ok());
    CHECK(*offset == 7);
    const auto requests = server.requests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].path == "/log-append");
    CHECK(requests[0].query == "topic=s&part=0");
    bool is_truncated = false;
    const auto records = DecodeFrames(requests[0].body, is_truncated);
    CHECK_FALSE(is_truncated);
    REQUIRE(records.size() == 1);
    CHECK(codec::ParseRecord(records[0]).ok());
  }
  SUBCASE("any other response leaves the result unknown") {
    for (const BadAnswer& it : std::vector<BadAnswer>{
             {"error", 500, "{\"offset\":7}"},
             {"created, which the protocol does not use", 201, ""},
             {"not JSON", 200, "<html>"},
             {"truncated JSON", 200, "{\"offset\":"},
             {"no member", 200, "{}"},
             {"a list", 200, "[7]"},
             {"wrong type", 200, "{\"offset\":\"7\"}"},
             {"below zero", 200, "{\"offset\":-1}"},
             {"too large", 200, "{\"offset\":18446744073709551616}"}}) {
      CAPTURE(it.what);
      server.Answer(it.status, it.body);
      CHECK_FALSE(log.Append(kRecord).ok());
    }
  }
  SUBCASE("each append is sent once, even if it fails") {
    server.Answer(500, "");
    CHECK_FALSE(log.Append(kRecord).ok());
    CHECK(server.requests().size() == 1);
  }
}

// Guards against a host that skips records, or acts on an empty log, after a
// response that was damaged or not from the log.
TEST_CASE("a damaged page of the log must not be taken for an empty one") {
  support::FakeServer server;
  http::Client client;
  LogClient log(client, OptionsFor(server.address()));
  const std::string valid_record = codec::EncodeRecord(kRecord);

  SUBCASE("valid records are read; one that no host can read is skipped") {
    server.Answer(200, Page({valid_record, "junk", valid_record}));
    const auto page = log.Read(0);
    REQUIRE(page.ok());
    CHECK(page->end == 3);
    REQUIRE(page->entries.size() == 2);
    CHECK(page->entries[1].offset == 2);
  }
  SUBCASE("offsets count from the requested one") {
    server.Answer(200, Page({valid_record}));
    const auto page = log.Read(2);
    REQUIRE(page.ok());
    CHECK(page->end == 3);
    REQUIRE(page->entries.size() == 1);
    CHECK(page->entries[0].offset == 2);
  }
  SUBCASE("anything else is an error") {
    const std::string complete_page = Page({valid_record});
    for (const BadAnswer& it : std::vector<BadAnswer>{
             {"error", 500, complete_page},
             {"nothing", 200, ""},
             {"JSON", 200, "{}"},
             {"truncated in the header", 200, complete_page.substr(0, 15)},
             {"truncated in the length of a record", 200,
              complete_page.substr(0, 18)},
             {"truncated in a record", 200,
              complete_page.substr(0, complete_page.size() - 1)},
             {"a record longer than the page", 200,
              Page({}) + std::string(4, '\xff')},
             {"history lost, not JSON", 410, "<html>"},
             {"history lost, no first offset", 410, "{}"},
             {"history lost, first offset of a wrong type", 410,
              R"({"first":"9"})"},
             {"history lost, but the offset is kept", 410, R"({"first":0})"}}) {
      CAPTURE(it.what);
      server.Answer(it.status, it.body);
      CHECK_FALSE(log.Read(0).ok());
      CHECK_FALSE(log.ReadAll().ok());
    }
  }
}

// Guards against records that change when they contain zero bytes, are empty or
// have a damaged key.
TEST_CASE("records must keep their bytes and keys through the log's framing") {
  const std::string bytes("\0\xff{}", 4);
  bool is_truncated = false;
  CHECK(DecodeFrames(EncodeFrame(bytes) + EncodeFrame(""), is_truncated) ==
        std::vector<std::string>{bytes, ""});
  CHECK_FALSE(is_truncated);
  const auto keyed = DecodeKeyedRecord(EncodeKeyedRecord({bytes, bytes}));
  REQUIRE(keyed.ok());
  CHECK(keyed->key == bytes);
  CHECK(keyed->value == bytes);
  for (const char* it : {"", "\x02k", "\xff"}) {
    CHECK_FALSE(DecodeKeyedRecord(it).ok());
  }
}

// Guards against a host that takes all others for gone because the host list
// could not be read.
TEST_CASE("a damaged host list must not be taken for an empty one") {
  support::FakeServer server;
  http::Client client;
  server.Answer(200, R"([{"address":"10.0.0.1:1","state":"live"},)"
                     R"({"address":"10.0.0.2:1","state":"leaving"}])");
  const auto list = FetchHostList(client, server.address());
  REQUIRE(list.ok());
  REQUIRE(list->hosts.size() == 2);
  CHECK_FALSE(list->hosts[0].leaving);
  CHECK(list->hosts[1].leaving);
  for (const BadAnswer& it : std::vector<BadAnswer>{
           {"error", 500, "[]"},
           {"not JSON", 200, "<html>"},
           {"truncated JSON", 200, "[{\"address\":\"10.0.0.1:1\""},
           {"an object", 200, "{}"},
           {"an entry of a wrong type", 200, "[7]"},
           {"no address", 200, "[{\"state\":\"live\"}]"},
           {"no state", 200, "[{\"address\":\"10.0.0.1:1\"}]"}}) {
    CAPTURE(it.what);
    server.Answer(it.status, it.body);
    CHECK_FALSE(FetchHostList(client, server.address()).ok());
  }
}

// Guards against figures of control traffic that leave out headers or one
// direction.
TEST_CASE(
    "control bytes must be counted in both directions with their headers") {
  support::FakeServer server;
  server.Answer(200, R"({"offset":7})");
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  http::Client client([&](std::uint64_t out, std::uint64_t in) {
    sent += out;
    received += in;
  });
  LogClient log(client, OptionsFor(server.address()));
  REQUIRE(log.Append(kRecord).ok());
  const std::string body = codec::EncodeRecord(kRecord);
  CHECK(sent > body.size() + std::string("POST /log-append").size());
  CHECK(received > std::string(R"({"offset":7})").size());
  const std::uint64_t once = sent;
  REQUIRE(log.Append(kRecord).ok());
  CHECK(sent == 2 * once);
}

// Guards against partial data that is used because the connection ended within
// a response.
TEST_CASE("a truncated response must be an error, not a short response") {
  for (const char* text :
       {"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Len",
        "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n{\"offset\":7}",
        "HTTP/1.1 200 OK\r\n\r\n{\"offset\":7}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n{\"off",
        "not HTTP\r\n\r\n"}) {
    CAPTURE(text);
    const support::CutServer server(text);
    http::Client client;
    LogClient log(client, OptionsFor(server.address()));
    CHECK_FALSE(log.Append(kRecord).ok());
    CHECK_FALSE(log.Read(0).ok());
    CHECK_FALSE(FetchHostList(client, server.address()).ok());
  }
}

}  // namespace toucandock::platform
