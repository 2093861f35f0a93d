#include "platform/store_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "core/position.h"
#include "http/raw_target.h"
#include "platform/log_protocol.h"

namespace toucandock::platform {
namespace {

using entry::StoreStatus;
using http::RawConnection;
using http::RawTarget;

// What a store does with a call after it has read it.
struct StoreReply {
  std::string bytes;
  bool reset = false;
};

std::string Response(int status, const std::string& body) {
  return absl::StrCat("HTTP/1.1 ", status,
                      " x\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

class ReplyingStore {
 public:
  explicit ReplyingStore(const StoreReply& reply)
      : server_([reply](RawConnection& connection) {
          connection.ReadRequest();
          connection.Write(reply.bytes);
          if (reply.reset) {
            connection.Reset();
          }
        }) {}

  entry::AppendResult Append() {
    boost::asio::io_context io;
    StoreClient client(io, *net::ParseEndpoint(server_.address()),
                       {.member = "h"});
    entry::AppendResult result;
    client.Append(entry::Stream::kOwnership, 4, "s", "value",
                  [&](const entry::AppendResult& it) {
                    result = it;
                    io.stop();
                  });
    io.run();
    return result;
  }

  entry::ReadResult Read(core::Offset from) {
    boost::asio::io_context io;
    StoreClient client(io, *net::ParseEndpoint(server_.address()),
                       {.member = "h"});
    entry::ReadResult result;
    client.Read(entry::Stream::kTargets, from, std::chrono::milliseconds(0),
                [&](const entry::ReadResult& it) {
                  result = it;
                  io.stop();
                });
    io.run();
    return result;
  }

  void Stop() { server_.Stop(); }

 private:
  RawTarget server_;
};

// A response with the header Store-Era.
std::string InEra(const std::string& era, int status, const std::string& body) {
  return absl::StrCat("HTTP/1.1 ", status, " x\r\nStore-Era: ", era,
                      "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

// A store that gives these responses one after the other, and one client.
class ScriptedStore {
 public:
  explicit ScriptedStore(std::vector<std::string> responses)
      : responses_(std::move(responses)),
        server_([this](RawConnection& connection) {
          while (true) {
            const std::string request = connection.ReadRequest();
            if (request.empty() || next_ == responses_.size()) {
              return;
            }
            requests_.push_back(request.substr(0, request.find(" HTTP")));
            connection.Write(responses_[next_++]);
          }
        }),
        client_(io_, *net::ParseEndpoint(server_.address()), {.member = "h"}) {
    client_.WatchEra([this](const entry::StoreEra& it) { era = it; });
  }

  entry::ReadResult Read(core::Offset from) {
    return Await<entry::ReadResult>([&](auto handler) {
      client_.Read(entry::Stream::kOwnership, from,
                   std::chrono::milliseconds(0), handler);
    });
  }
  entry::ReadResult ReadNewest() {
    return Await<entry::ReadResult>([&](auto handler) {
      client_.ReadNewest(entry::Stream::kOwnership, handler);
    });
  }
  entry::AppendResult Append(std::optional<core::Offset> at) {
    return Await<entry::AppendResult>([&](auto handler) {
      client_.Append(entry::Stream::kOwnership, at, "s", "value", handler);
    });
  }

  entry::StoreEra era;
  // Only valid between two calls.
  const std::vector<std::string>& requests() const { return requests_; }

 private:
  template <typename Result>
  Result Await(const std::function<void(std::function<void(Result)>)>& call) {
    Result result;
    call([&](const Result& it) {
      result = it;
      io_.stop();
    });
    io_.restart();
    io_.run();
    return result;
  }

  const std::vector<std::string> responses_;
  std::vector<std::string> requests_;
  size_t next_ = 0;
  RawTarget server_;
  boost::asio::io_context io_;
  StoreClient client_;
};

std::string Page(core::Offset end, const std::vector<std::string>& records) {
  return EncodePage({.end = end, .records = records});
}

std::string Record(const std::string& key) {
  return EncodeKeyedRecord({.key = key, .value = "v"});
}

}  // namespace

// Guards against a leader that takes an append for not carried out and decides
// again: a key could then have two owners.
TEST_CASE("an append may count as not carried out only if that is certain") {
  struct Case {
    std::string what;
    StoreReply reply;
    StoreStatus expected;
  };
  const std::string ok = Response(200, R"({"offset":4,"end":5})");
  const Case cases[] = {
      {"carried out", {ok}, StoreStatus::kOk},
      {"the partition ended elsewhere",
       {Response(412, R"({"end":7})")},
       StoreStatus::kConflict},
      {"rejected as malformed",
       {Response(400, "{}")},
       StoreStatus::kUnavailable},
      {"not allowed", {Response(403, "{}")}, StoreStatus::kUnavailable},
      {"too many calls", {Response(429, "{}")}, StoreStatus::kUnavailable},
      {"the store is down", {Response(503, "{}")}, StoreStatus::kUnavailable},
      {"the store is full", {Response(507, "{}")}, StoreStatus::kUnavailable},
      {"an internal error", {Response(500, "{}")}, StoreStatus::kUnknown},
      {"a failed gateway", {Response(502, "{}")}, StoreStatus::kUnknown},
      {"a gateway that gave up", {Response(504, "{}")}, StoreStatus::kUnknown},
      {"a status of another kind", {Response(302, "")}, StoreStatus::kUnknown},
      {"a status that HTTP does not have",
       {"HTTP/1.1 000 X\r\nContent-Length: 23\r\n\r\n{\"offset\":4,\"end\":5} "
        " "},
       StoreStatus::kUnknown},
      {"accepted for later", {Response(202, "{}")}, StoreStatus::kUnknown},
      {"success without an offset",
       {Response(200, "{}")},
       StoreStatus::kUnknown},
      {"success that is not JSON",
       {Response(200, "<html>")},
       StoreStatus::kUnknown},
      {"closed before the response", {""}, StoreStatus::kUnknown},
      {"reset before the response", {"", true}, StoreStatus::kUnknown},
      {"closed within the head", {ok.substr(0, 20)}, StoreStatus::kUnknown},
      {"reset after the head",
       {ok.substr(0, ok.find("\r\n\r\n") + 4), true},
       StoreStatus::kUnknown},
      {"closed within the body",
       {ok.substr(0, ok.size() - 1)},
       StoreStatus::kUnknown},
  };
  for (const Case& it : cases) {
    CAPTURE(it.what);
    CHECK(ReplyingStore(it.reply).Append().status == it.expected);
  }
  SUBCASE("no process listens") {
    ReplyingStore store({""});
    store.Stop();
    CHECK(store.Append().status == StoreStatus::kUnavailable);
  }
}

// Guards against a host that misses an owner, a removal or a configuration
// because a page of records broke off.
TEST_CASE("a page that breaks off must not move a host past unread records") {
  const auto read = [](const LogPage& page, size_t cut) {
    const std::string bytes = EncodePage(page);
    return ReplyingStore({Response(200, bytes.substr(0, bytes.size() - cut))})
        .Read(10);
  };
  SUBCASE("within its first record") {
    const auto result = read({.end = 12, .records = {Record("a"), Record("b")}},
                             EncodeFrame(Record("b")).size() + 1);
    CHECK(result.status != StoreStatus::kOk);
  }
  SUBCASE("within a later record") {
    const auto result =
        read({.end = 12, .records = {Record("a"), Record("b")}}, 1);
    CHECK(result.status == StoreStatus::kOk);
    REQUIRE(result.records.size() == 1);
    CHECK(result.records[0].offset == 10);
    CHECK(result.end == 11);
  }
  SUBCASE("between two records, because the page has a size limit") {
    const auto result = read({.end = 900, .records = {Record("a")}}, 0);
    CHECK(result.status == StoreStatus::kOk);
    CHECK(result.end == 11);
  }
  SUBCASE("before its first record") {
    CHECK(read({.end = 12, .records = {}}, 0).status != StoreStatus::kOk);
  }
  SUBCASE("a page without news is whole") {
    const auto result = read({.end = 10, .records = {}}, 0);
    CHECK(result.status == StoreStatus::kOk);
    CHECK(result.records.empty());
    CHECK(result.end == 10);
  }
  SUBCASE("a record without a valid key is passed over") {
    const auto result =
        read({.end = 12, .records = {Record("a"), std::string("\x09x")}}, 0);
    CHECK(result.status == StoreStatus::kOk);
    CHECK(result.records.size() == 1);
    CHECK(result.end == 12);
  }
}

// Guards against hosts that take records of a restored store for those that
// they have read before at the same offsets, and against leaders that count on
// an append which is lost or stands in another history.
TEST_CASE("a store that comes back from a copy must begin new positions") {
  const std::string added = R"({"offset":4,"end":5})";

  SUBCASE("without a header, positions are the store's offsets") {
    ScriptedStore store(
        {Response(200, Page(9, {Record("a")})), Response(200, added)});
    CHECK(store.Read(8).end == 9);
    CHECK(store.Append(4).offset == 4);
    CHECK(store.era.era == 0);
  }

  SUBCASE("a read from an earlier era finds its history lost") {
    ScriptedStore store({InEra("1", 200, Page(9, {Record("a")})),
                         InEra("1", 200, Page(9, {Record("a")}))});
    CHECK(store.Read(8).status == StoreStatus::kHistoryLost);
    CHECK(store.era.era == 1);
    SUBCASE("also without asking again") {
      CHECK(store.Read(8).status == StoreStatus::kHistoryLost);
      CHECK(store.requests().size() == 1);
    }
    SUBCASE("and one of the new era gets positions of this era") {
      const auto result = store.Read(core::MakePosition(1, 8));
      REQUIRE(result.records.size() == 1);
      CHECK(result.records[0].offset == core::MakePosition(1, 8));
      CHECK(result.end == core::MakePosition(1, 9));
      CHECK(store.requests().back().find("from=8&") != std::string::npos);
    }
  }

  SUBCASE("an append across the change is neither carried out nor refused") {
    SUBCASE("the answer says that it is done") {
      CHECK(ScriptedStore({InEra("1", 200, added)}).Append(4).status ==
            StoreStatus::kUnknown);
    }
    SUBCASE("the answer says that the end is elsewhere") {
      CHECK(ScriptedStore({InEra("1", 412, R"({"end":7})")}).Append(4).status ==
            StoreStatus::kUnknown);
    }
    SUBCASE("the era was known before: it is not sent") {
      ScriptedStore store({InEra("1", 410, "{}"), InEra("1", 200, added)});
      CHECK(store.Read(8).status == StoreStatus::kHistoryLost);
      CHECK(store.Append(4).status == StoreStatus::kConflict);
      CHECK(store.requests().size() == 1);
    }
  }

  SUBCASE("a peer knew the era first") {
    ScriptedStore store({InEra("2", 200, added)});
    const auto result = store.Append(core::MakePosition(2, 4));
    CHECK(result.status == StoreStatus::kOk);
    CHECK(result.offset == core::MakePosition(2, 4));
    CHECK(store.era.era == 2);
  }

  SUBCASE("a listing whose pages belong to two eras begins again") {
    const auto page = [](const char* key, bool more) {
      return absl::StrCat(R"({"items":[{"offset":3,"key":")", key,
                          R"(","value":"dg=="}],"more":)",
                          more ? "true" : "false", R"(,"end":6})");
    };
    ScriptedStore store({InEra("1", 200, page("a", true)),
                         InEra("2", 200, page("b", false)),
                         InEra("2", 200, page("c", false))});
    const auto result = store.ReadNewest();
    REQUIRE(result.records.size() == 1);
    CHECK(result.records[0].key == "c");
    CHECK(result.end == core::MakePosition(2, 6));
  }

  SUBCASE("an era that falls is ignored") {
    ScriptedStore store({InEra("3", 410, "{}"),
                         InEra("2", 200, Page(9, {Record("a")})),
                         InEra("2", 200, added)});
    CHECK(store.Read(8).status == StoreStatus::kHistoryLost);
    CHECK(store.Read(core::MakePosition(3, 8)).end == core::MakePosition(3, 9));
    CHECK(store.Append(core::MakePosition(3, 4)).status == StoreStatus::kOk);
    CHECK(store.era.era == 3);
    CHECK(store.era.odd_headers == 2);
  }

  SUBCASE("an odd header changes no era, and an append counts as unknown") {
    for (const char* odd :
         {"x", "-1", "1.5", "", "99999999", "1 2", "18446744073709551616"}) {
      CAPTURE(odd);
      ScriptedStore store(
          {InEra(odd, 200, Page(9, {Record("a")})), InEra(odd, 200, added)});
      CHECK(store.Read(8).end == 9);
      CHECK(store.Append(4).status == StoreStatus::kUnknown);
      CHECK(store.era.era == 0);
      CHECK(store.era.odd_headers == 2);
    }
  }
}

}  // namespace toucandock::platform
