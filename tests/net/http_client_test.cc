#include "net/http_client.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "http/raw_target.h"
#include "support/bad_field_names.h"

namespace toucandock::net {
namespace {

// Makes one call to the server and returns how it ended.
std::optional<CallResult> ResultOf(const http::RawTarget& server,
                                   HttpRequest request = {
                                       boost::beast::http::verb::get, "/x",
                                       11}) {
  boost::asio::io_context io;
  HttpClient client(io, *ParseEndpoint(server.address()));
  std::optional<CallResult> result;
  client.Call(std::move(request), std::chrono::seconds(2),
              [&](const CallAnswer& answer) { result = answer.result; });
  io.run();
  return result;
}

}  // namespace

// Guards against an answer of the store, a target or another host that ends the
// control thread: the HTTP library throws for fields of 64 KiB, and does so
// inside its own operation.
TEST_CASE("an answer that the HTTP library cannot hold must fail its call") {
  const std::string long_text(70'000, 'x');
  const std::string trailers[] = {absl::StrCat("T: ", long_text),
                                  absl::StrCat(long_text, ": x")};
  for (const std::string& it : trailers) {
    http::RawTarget server([&it](http::RawConnection& connection) {
      while (!connection.ReadRequest().empty()) {
        connection.Write(
            absl::StrCat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "1\r\na\r\n0\r\n",
                         it, "\r\n\r\n"));
      }
    });
    boost::asio::io_context io;
    HttpClient client(io, *ParseEndpoint(server.address()));
    std::optional<CallResult> result;
    client.Call({boost::beast::http::verb::get, "/x", 11},
                std::chrono::seconds(2),
                [&](const CallAnswer& answer) { result = answer.result; });
    CHECK_NOTHROW(io.run());
    CHECK(result == CallResult::kUnanswered);
  }
}

// Guards against a large configuration that is transferred again and again over
// a slow link because its response takes longer than the time-out.
TEST_CASE("a response that arrives slowly must not be given up midway") {
  using std::chrono::milliseconds;
  constexpr int kPieces = 8;
  constexpr milliseconds kTimeout{300};
  const auto call = [&](int pieces_sent) {
    http::RawTarget server([&](http::RawConnection& connection) {
      while (!connection.ReadRequest().empty()) {
        connection.Write(absl::StrCat(
            "HTTP/1.1 200 OK\r\nContent-Length: ", kPieces, "\r\n\r\n"));
        for (int n = 0; n < pieces_sent; ++n) {
          std::this_thread::sleep_for(milliseconds(100));
          connection.Write("x");
        }
      }
    });
    boost::asio::io_context io;
    HttpClient client(io, *ParseEndpoint(server.address()));
    std::optional<CallResult> result;
    client.Call({boost::beast::http::verb::get, "/x", 11}, kTimeout,
                [&](const CallAnswer& answer) { result = answer.result; });
    const auto start = std::chrono::steady_clock::now();
    io.run();
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
    return result;
  };

  SUBCASE("all of it arrives after the time-out") {
    CHECK(call(kPieces) == CallResult::kAnswered);
  }
  SUBCASE("it stops arriving") {
    CHECK(call(2) == CallResult::kUnanswered);
  }
}

// Guards against a call to the store, a target or another host that counts as
// answered by bytes that are no answer (RFC 9110, section 15).
TEST_CASE("a status that HTTP does not have must fail the call") {
  const auto call = [](const char* status) {
    http::RawTarget server([&](http::RawConnection& connection) {
      connection.ReadRequest();
      connection.Write(absl::StrCat("HTTP/1.1 ", status,
                                    " X\r\nContent-Length: 2\r\n\r\n{}"));
      connection.IsClosedWithin(std::chrono::seconds(2));
    });
    boost::asio::io_context io;
    std::optional<CallResult> result;
    {
      HttpClient client(io, *ParseEndpoint(server.address()));
      client.Call({boost::beast::http::verb::get, "/x", 11},
                  std::chrono::seconds(2),
                  [&](const CallAnswer& answer) { result = answer.result; });
      io.run();
    }
    return result;
  };
  for (const char* status : {"000", "099", "600", "999"}) {
    CAPTURE(std::string(status));
    CHECK(call(status) == CallResult::kUnanswered);
  }
  for (const char* status : {"200", "404", "599"}) {
    CAPTURE(std::string(status));
    CHECK(call(status) == CallResult::kAnswered);
  }
}

// Guards against a call to the store, a target or another host that takes a
// part of a response as the whole of it.
TEST_CASE("a response that ends with a reset must fail the call") {
  constexpr size_t kUploadBytes = 16 << 20;
  size_t upload_bytes = 2;
  std::string bytes = "HTTP/1.1 200 OK\r\n\r\n{}";
  SUBCASE("without a length") {}
  SUBCASE("with a length") {
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}";
  }
  SUBCASE("in chunks") {
    bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n";
  }
  SUBCASE("without a length, the call still being written") {
    upload_bytes = kUploadBytes;
  }
  SUBCASE("within the head, the call still being written") {
    upload_bytes = kUploadBytes;
    bytes = "HTTP/1.1 200 OK\r\n";
  }
  http::RawTarget server([&](http::RawConnection& connection) {
    connection.ReadHead();
    connection.Write(bytes);
    // The bytes arrive before the reset.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    connection.Reset();
  });
  HttpRequest request{boost::beast::http::verb::post, "/x", 11};
  request.body().assign(upload_bytes, 'u');
  CHECK(ResultOf(server, std::move(request)) == CallResult::kUnanswered);
}

// Guards against a call that is answered by a response in whose head the name
// of a field holds a blank or a control byte.
TEST_CASE("a head with a bad field name must fail the call") {
  std::string bytes;
  http::RawTarget server([&](http::RawConnection& connection) {
    connection.ReadRequest();
    connection.Write(bytes);
  });
  SUBCASE("with a length") {
    for (const std::string& head : support::HeadsWithBadFieldName(
             {"Content-Type: application/json", "Content-Length: 2"})) {
      CAPTURE(head);
      bytes = absl::StrCat(head, "{}");
      CHECK(ResultOf(server) == CallResult::kUnanswered);
    }
  }
  SUBCASE("up to the end of the connection") {
    for (const std::string& head :
         support::HeadsWithBadFieldName({"Content-Type: application/json"})) {
      CAPTURE(head);
      bytes = absl::StrCat(head, "{}");
      CHECK(ResultOf(server) == CallResult::kUnanswered);
    }
  }
}

}  // namespace toucandock::net
