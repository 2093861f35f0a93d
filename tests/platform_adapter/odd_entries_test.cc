#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "entry/peer_json.h"
#include "http/raw_target.h"
#include "platform/config_decoder.h"
#include "platform/store_client.h"
#include "platform/target_entry_decoder.h"

namespace toucandock::platform {
namespace {

using http::RawConnection;
using http::RawTarget;

constexpr char kEntry[] =
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"z1","version":"v1",)"
    R"("concurrency":4,"state":"ready","warmupLeft":"2.5s","sequence":4,)"
    R"("born":1790987082163})";

constexpr char kConfig[] =
    R"({"version":"0000001f","limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
    R"("idleTimeout":"15000ms"},"listeners":[{"host":"a.example","rules":[)"
    R"({"name":"r1","routeType":"safe","targetLatency":"600ms","priority":2,)"
    R"("match":{"pathPrefix":"/x/"},"action":{"service":"s1",)"
    R"("timeout":"1200ms","maxAttempts":2}}]}],"clusters":[{"name":"s1",)"
    R"("healthPath":"/healthz","maxConnections":130,"sharded":true}]})";

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Replaces a part of the valid entry, which must contain it.
std::string With(const char* from, const std::string& to) {
  REQUIRE(absl::StrContains(kEntry, from));
  return absl::StrReplaceAll(kEntry, {{from, to}});
}

std::string Item(const std::string& key, const std::string& value, int offset) {
  return absl::StrCat(R"({"key":")", key, R"(","value":")",
                      absl::Base64Escape(value), R"(","offset":)", offset, "}");
}

// A store that returns the newest records page by page and keeps the requests.
class NewestPages {
 public:
  explicit NewestPages(std::vector<std::string> pages)
      : pages_(std::move(pages)), server_([this](RawConnection& connection) {
          for (std::string it = connection.ReadRequest(); !it.empty();
               it = connection.ReadRequest()) {
            const std::string& body =
                pages_[std::min(requests_.size(), pages_.size() - 1)];
            requests_.push_back(it.substr(0, it.find('\r')));
            // An empty page stands for a call that the store rejects.
            connection.Write(absl::StrCat(
                body.empty() ? "HTTP/1.1 429 Too Many Requests"
                             : "HTTP/1.1 200 OK",
                "\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
          }
        }) {}

  entry::ReadResult Read() {
    boost::asio::io_context io;
    StoreClient client(io, *net::ParseEndpoint(server_.address()),
                       {.member = "h"});
    entry::ReadResult result;
    client.ReadNewest(entry::Stream::kTargets,
                      [&](const entry::ReadResult& it) {
                        result = it;
                        io.stop();
                      });
    io.run();
    return result;
  }

  const std::vector<std::string>& requests() const { return requests_; }

 private:
  const std::vector<std::string> pages_;
  std::vector<std::string> requests_;
  RawTarget server_;
};

}  // namespace

// Guards against hosts that crash, use a wrong target or stop following the
// list because another writer left an entry that no target writes (issue 16).
TEST_CASE(
    "a malformed entry must describe no target and affect no other entry") {
  REQUIRE(DecodeTargetEntry("i-1", kEntry).ok());

  SUBCASE("whatever it contains") {
    const std::string huge(1'000'000, 'x');
    const std::vector<std::string> malformed = {
        Nested(100'000),
        With("\"v1\"", Nested(100'000)),
        With("\"concurrency\":4", "\"concurrency\":" + Nested(40)),
        With("\"concurrency\":4", "\"concurrency\":1e400"),
        With("\"concurrency\":4", "\"concurrency\":4294967300"),
        With("\"concurrency\":4", "\"concurrency\":18446744073709551620"),
        With("\"sequence\":4", "\"sequence\":18446744073709551615"),
        With("\"sequence\":4", "\"sequence\":1e18"),
        With("1790987082163", "18446744073709551615"),
        With("1790987082163", "9223372036854775807"),
        With("1790987082163", "-1"),
        With("8080", "65536"),
        With("8080", "4294975376"),
        With("8080", "-1"),
        With("8080", "0"),
        With("8080", " 80"),
        With("10.128.0.9", "0.0.0.0"),
        With("10.128.0.9", "255.255.255.255"),
        With("2.5s", "nans"),
        With("2.5s", "infs"),
        With("2.5s", "1e300s"),
        With("2.5s", "-1s"),
        With("2.5s", "999999999s"),
        With("\"s1\"", "\"" + huge + "\""),
        With("\"z1\"", "\"" + huge + "\""),
        With("\"s1\"", "\"s\\u0000\""),
        With("\"s1\"", "\"s\\r\\n\""),
        With("\"s1\"", "\"\xff\xfe\""),
        With("\"v1\"", "\"v1\",\"version\":\"v2\""),
    };
    for (const std::string& it : malformed) {
      CAPTURE(it.substr(0, 160));
      CHECK_FALSE(DecodeTargetEntry("i-1", it).ok());
    }
  }

  SUBCASE("under an id that would end or split a header") {
    for (const std::string& id :
         {std::string("i\r\nX: 1"), std::string("i 1"), std::string("i\0", 2),
          std::string("\xff\xfe"), std::string(256, 'i')}) {
      CAPTURE(id);
      CHECK_FALSE(DecodeTargetEntry(id, kEntry).ok());
    }
  }
}

// Guards against hosts that stop following the list of targets, or read it
// endlessly, because of one record or page.
TEST_CASE(
    "records that cannot be read must not stop a host from following the "
    "targets") {
  const std::string valid_value = R"({"a":1})";

  SUBCASE("a malformed item among the newest records is skipped") {
    NewestPages store({absl::StrCat(
        R"({"items":[)", Item("i-1", valid_value, 1),
        R"(,7,{"key":9},{"key":"i-2","value":"%","offset":2},)",
        R"({"key":"i-3","value":"e30=","offset":-4},)",
        Item("i-4", valid_value, 5), R"(],"more":false,"end":6})")});
    const entry::ReadResult result = store.Read();
    CHECK(result.status == entry::StoreStatus::kOk);
    CHECK(result.end == 6);
    REQUIRE(result.records.size() == 2);
    CHECK(result.records[0].key == "i-1");
    CHECK(result.records[1].key == "i-4");
  }

  SUBCASE("the next page is read after a key that is not plain text") {
    NewestPages store(
        {absl::StrCat(R"({"items":[)",
                      Item(R"(a b&part=7#%\u0001\r\n)", valid_value, 1),
                      R"(],"more":true,"end":6})"),
         absl::StrCat(R"({"items":[)", Item("i-2", valid_value, 2),
                      R"(],"more":false,"end":6})")});
    const entry::ReadResult result = store.Read();
    CHECK(result.status == entry::StoreStatus::kOk);
    CHECK(result.records.size() == 2);
    REQUIRE(store.requests().size() == 2);
    CHECK(absl::EndsWith(store.requests()[1],
                         "&after=a%20b%26part%3D7%23%25%01%0D%0A HTTP/1.1"));
  }

  // Guards against hosts that start over with each failed page, so that a store
  // which a whole fleet reads at once never answers all of them.
  SUBCASE("a page that the store rejects is read again, and only that one") {
    NewestPages store(
        {absl::StrCat(R"({"items":[)", Item("i-1", valid_value, 1),
                      R"(],"more":true,"end":6})"),
         "", "",
         absl::StrCat(R"({"items":[)", Item("i-2", valid_value, 2),
                      R"(],"more":false,"end":6})")});
    const entry::ReadResult result = store.Read();
    CHECK(result.status == entry::StoreStatus::kOk);
    CHECK(result.records.size() == 2);
    REQUIRE(store.requests().size() == 4);
    CHECK(store.requests()[1] == store.requests()[3]);
    CHECK(store.requests()[0] != store.requests()[1]);
  }

  SUBCASE("a store that rejects each call is not asked endlessly") {
    NewestPages store({""});
    CHECK(store.Read().status == entry::StoreStatus::kUnavailable);
    CHECK(store.requests().size() < 8);
  }

  SUBCASE(
      "a store that announces more and sends nothing is not asked "
      "endlessly") {
    NewestPages store({R"({"items":[],"more":true,"end":6})"});
    CHECK(store.Read().status == entry::StoreStatus::kUnavailable);
    CHECK(store.requests().size() < 5);
  }
}

// Guards against values that wrap around when they are converted to a smaller
// type, such as a limit that becomes 0.
TEST_CASE("numbers beyond their type must not change their meaning") {
  SUBCASE("of a configuration, whose earlier version then stays in force") {
    REQUIRE(DecodeConfig(kConfig).ok());
    const std::pair<const char*, const char*> malformed[] = {
        {"16384", "4294967296"},
        {"67108864", "4294967297"},
        {"\"maxAttempts\":2", "\"maxAttempts\":4294967297"},
        {"\"priority\":2", "\"priority\":4294967295"},
        {"\"maxConnections\":130", "\"maxConnections\":4294967296"},
        {"1200ms", "nanms"},
        {"0000001f", "1000000000000001f"},
    };
    for (const auto& it : malformed) {
      CAPTURE(it.second);
      CHECK_FALSE(
          DecodeConfig(absl::StrReplaceAll(kConfig, {{it.first, it.second}}))
              .ok());
    }
  }

  SUBCASE("of a heartbeat") {
    REQUIRE(entry::DecodeHeartbeat("[1,1,1,1,1,1,3,1,1,1]").ok());
    CHECK_FALSE(entry::DecodeHeartbeat("[1,1,1,1,1,1,4294967295,1,1,1]").ok());
  }
}

}  // namespace toucandock::platform
