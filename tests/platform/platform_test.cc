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

std::string Page(const std::string& records) {
  return absl::StrCat(R"({"first":0,"next":3,"records":[)", records, "]}");
}

std::string Entry(int offset, const std::string& data) {
  Json::Value value;
  value["offset"] = offset;
  value["data"] = data;
  return codec::WriteJson(value);
}

struct BadAnswer {
  const char* what;
  int status;
  std::string body;
};

}  // namespace

TEST_CASE("an append must count as stored only when the log says so") {
  support::FakeServer server;
  http::Client client;
  LogClient log(client, OptionsFor(server.address()));

  SUBCASE("a good answer") {
    server.Answer(200, "{\"offset\":7}");
    const auto offset = log.Append(kRecord);
    REQUIRE(offset.ok());
    CHECK(*offset == 7);
    const auto requests = server.requests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].path == "/streams/s/records");
    CHECK(codec::ParseRecord(requests[0].body).ok());
  }
  SUBCASE("any other answer leaves it open") {
    for (const BadAnswer& it : std::vector<BadAnswer>{
             {"error", 500, "{\"offset\":7}"},
             {"created, which the protocol does not have", 201, ""},
             {"not JSON", 200, "<html>"},
             {"cut JSON", 200, "{\"offset\":"},
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
  SUBCASE("each append is sent once, even when the answer is lost") {
    server.Answer(500, "");
    CHECK_FALSE(log.Append(kRecord).ok());
    CHECK(server.requests().size() == 1);
  }
}

TEST_CASE("a damaged page of the log must not be taken for an empty one") {
  support::FakeServer server;
  http::Client client;
  LogClient log(client, OptionsFor(server.address()));
  const std::string good = codec::EncodeRecord(kRecord);

  SUBCASE("good records are read; one that no host can read is skipped") {
    server.Answer(200, Page(absl::StrCat(Entry(0, good), ",", Entry(1, "junk"),
                                         ",", Entry(2, good))));
    const auto page = log.Read(0);
    REQUIRE(page.ok());
    CHECK(page->end == 3);
    REQUIRE(page->entries.size() == 2);
    CHECK(page->entries[1].offset == 2);
  }
  SUBCASE("anything else is an error") {
    for (const BadAnswer& it : std::vector<BadAnswer>{
             {"error", 500, Page("")},
             {"not JSON", 200, "<html>"},
             {"cut JSON", 200, Page("").substr(0, 20)},
             {"a list", 200, "[]"},
             {"no first offset", 200, "{\"next\":3,\"records\":[]}"},
             {"no next offset", 200, "{\"first\":0,\"records\":[]}"},
             {"no records", 200, "{\"first\":0,\"next\":3}"},
             {"records of a wrong type", 200,
              R"({"first":0,"next":3,"records":{}})"},
             {"an entry of a wrong type", 200, Page("7")},
             {"an entry without offset", 200, Page("{\"data\":\"x\"}")},
             {"an entry without data", 200, Page("{\"offset\":0}")}}) {
      CAPTURE(it.what);
      server.Answer(it.status, it.body);
      CHECK_FALSE(log.Read(0).ok());
      CHECK_FALSE(log.ReadAll().ok());
    }
  }
}

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
           {"cut JSON", 200, "[{\"address\":\"10.0.0.1:1\""},
           {"an object", 200, "{}"},
           {"an entry of a wrong type", 200, "[7]"},
           {"no address", 200, "[{\"state\":\"live\"}]"},
           {"no state", 200, "[{\"address\":\"10.0.0.1:1\"}]"}}) {
    CAPTURE(it.what);
    server.Answer(it.status, it.body);
    CHECK_FALSE(FetchHostList(client, server.address()).ok());
  }
}

TEST_CASE("control bytes must be counted in both directions with their heads") {
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
  CHECK(sent > body.size() + std::string("POST /streams/s/records").size());
  CHECK(received > std::string(R"({"offset":7})").size());
  const std::uint64_t once = sent;
  REQUIRE(log.Append(kRecord).ok());
  CHECK(sent == 2 * once);
}

TEST_CASE("an answer that ends anywhere must be an error, not a short answer") {
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
