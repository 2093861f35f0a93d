#include "platform/store_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "absl/strings/str_cat.h"
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

}  // namespace toucandock::platform
