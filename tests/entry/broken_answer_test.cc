#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "entry/target_connection.h"
#include "entry/traffic_host.h"
#include "support/bad_field_names.h"
#include "support/raw_caller.h"

namespace toucandock::entry {
namespace {

using core::request::AttemptEnd;
using http::RawConnection;
using http::RawTarget;
using std::chrono::milliseconds;
using support::RawCaller;

// Exceeds what the kernel buffers between a host and a target that does not
// read, so that the upload stays unfinished.
constexpr size_t kUploadBytes = 16 << 20;

const char kHead[] = "HTTP/1.1 200 OK\r\nId: mine\r\nDigest: d\r\n";

// What the host does while the target acts. A paused host finds all that has
// happened on the connection at once, with its upload still being written.
enum class Host { kPaused, kRunning };

// Sends a long request to a target that acts when it has read the head.
TargetAnswer UploadTo(const std::function<void(RawConnection&)>& act,
                      Host host = Host::kPaused) {
  std::promise<void> head_read;
  std::promise<void> upload_blocked;
  std::promise<void> acted;
  std::promise<void> answered;
  RawTarget target([&](RawConnection& connection) {
    connection.ReadHead();
    head_read.set_value();
    if (host == Host::kPaused) {
      upload_blocked.get_future().wait();
    }
    act(connection);
    acted.set_value();
    answered.get_future().wait();
  });
  boost::asio::io_context io;
  const net::HeaderNames names{.request_id = "Id",
                               .not_executed = "Not-Executed",
                               .answer_digest = "Digest"};
  const auto connection = std::make_shared<TargetConnection>(
      io, *net::ParseEndpoint(target.address()), names,
      std::make_shared<AnswerMemory>());
  net::HttpRequest request{boost::beast::http::verb::post, "/x", 11};
  request.set("Id", "mine");
  request.body().assign(kUploadBytes, 'u');
  request.prepare_payload();
  TargetAnswer answer;
  connection->Send(std::move(request), [&](TargetAnswer it) {
    answer = std::move(it);
    connection->Abandon();
  });
  if (host == Host::kPaused) {
    auto is_head_read = head_read.get_future();
    while (is_head_read.wait_for(milliseconds(0)) !=
           std::future_status::ready) {
      io.run_for(milliseconds(10));
    }
    // The buffers fill within milliseconds.
    io.run_for(milliseconds(100));
    upload_blocked.set_value();
    acted.get_future().wait();
  }
  io.run();
  answered.set_value();
  return answer;
}

}  // namespace

// Guards against an answer that is cut short and reaches the caller as a whole
// one (MIXED): a reset is reported only once, to the write of the upload, and
// the read then sees an orderly end.
TEST_CASE(
    "an answer during an upload must be whole only if it ended in order") {
  SUBCASE("the target resets the connection") {
    const auto upload_to = [](const std::string& bytes) {
      return UploadTo([&bytes](RawConnection& connection) {
        connection.Write(bytes);
        // The bytes arrive before the reset.
        std::this_thread::sleep_for(milliseconds(20));
        connection.Reset();
      });
    };
    SUBCASE("before the answer, within its head or behind it") {
      const std::string head = absl::StrCat(kHead, "\r\n");
      for (const size_t size :
           {size_t{0}, size_t{5}, size_t{20}, head.size() - 1, head.size()}) {
        CAPTURE(size);
        const TargetAnswer answer = upload_to(head.substr(0, size));
        CHECK(answer.end == AttemptEnd::kBroken);
        CHECK(answer.cause == AttemptCause::kConnectionEnded);
      }
    }
    SUBCASE("within a body") {
      // Takes several reads.
      const std::string long_part = "\r\n" + std::string(300'000, 'p');
      for (const std::string& rest :
           {std::string("\r\npart"), long_part,
            std::string("Connection: close\r\n\r\npart"),
            std::string("Content-Length: 9\r\n\r\npart"),
            std::string("Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")}) {
        CAPTURE(rest.substr(0, 40));
        const TargetAnswer answer = upload_to(absl::StrCat(kHead, rest));
        CHECK(answer.end == AttemptEnd::kBroken);
        CHECK(answer.cause == AttemptCause::kConnectionEnded);
      }
    }
    SUBCASE("within a refusal, which says nothing then") {
      const TargetAnswer answer = upload_to(
          "HTTP/1.1 503 Full\r\nId: mine\r\nNot-Executed: 1\r\n\r\nfu");
      CHECK(answer.end == AttemptEnd::kBroken);
    }
    SUBCASE("behind an answer whose end is marked") {
      for (const char* rest :
           {"Content-Length: 4\r\n\r\nbody",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}) {
        CAPTURE(std::string(rest));
        const TargetAnswer answer = upload_to(absl::StrCat(kHead, rest));
        CHECK(answer.end == AttemptEnd::kAnswered);
        CHECK(answer.response.body() == "body");
      }
    }
  }

  SUBCASE("the target ends the connection in order") {
    const std::string bytes = absl::StrCat(kHead, "\r\nbody");
    SUBCASE("and reads on") {
      const TargetAnswer answer = UploadTo([&](RawConnection& connection) {
        connection.Write(bytes);
        connection.Finish();
      });
      CHECK(answer.end == AttemptEnd::kAnswered);
      CHECK(answer.response.body() == "body");
    }
    SUBCASE("and resets it afterwards") {
      const TargetAnswer answer = UploadTo([&](RawConnection& connection) {
        connection.Write(bytes);
        connection.Finish();
        std::this_thread::sleep_for(milliseconds(20));
        connection.Reset();
      });
      CHECK(answer.end == AttemptEnd::kAnswered);
      CHECK(answer.response.body() == "body");
    }
  }
}

// Guards against a reset that is found only at certain moments: the target
// reads some of the upload between the pieces of its answer.
TEST_CASE("no moment of a reset may make a part of an answer look whole") {
  constexpr unsigned kSeeds = 60;
  constexpr size_t kMaxPiece = 100'000;
  constexpr unsigned kMaxPieces = 6;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    std::minstd_rand random(seed);
    const auto act = [&random](RawConnection& connection) {
      connection.Write(absl::StrCat(kHead, "\r\n"));
      for (size_t n = random() % kMaxPieces; n > 0; --n) {
        connection.Discard(random() % kUploadBytes / kMaxPieces);
        connection.Write(std::string(random() % kMaxPiece, 'p'));
        std::this_thread::sleep_for(
            std::chrono::microseconds(random() % 3 * 300));
      }
      connection.Reset();
    };
    const TargetAnswer answer = UploadTo(act, Host::kRunning);
    CHECK(answer.end == AttemptEnd::kBroken);
  }
}

// Guards against a target that falls silent midway: the kernel gives the
// connection up after 15 s and reports the time-out to the write of the upload.
TEST_CASE("a time-out during an upload must not end an answer") {
  const TargetAnswer answer = UploadTo([](RawConnection& connection) {
    connection.Write(absl::StrCat(kHead, "\r\npart"));
  });
  CHECK(answer.end == AttemptEnd::kBroken);
  CHECK(answer.cause == AttemptCause::kConnectionEnded);
}

// The same through a whole host: the caller sends the upload and sees the
// answer.
TEST_CASE("a caller must not get a part of an answer as its answer") {
  milliseconds delay{0};
  std::string bytes = absl::StrCat(kHead, "\r\npart");
  SUBCASE("without a length") {}
  SUBCASE("without a length, the connection named as closing") {
    bytes = absl::StrCat(kHead, "Connection: close\r\n\r\npart");
  }
  SUBCASE("with a length") {
    bytes = absl::StrCat(kHead, "Content-Length: 9\r\n\r\npart");
  }
  SUBCASE("in chunks") {
    bytes =
        absl::StrCat(kHead, "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
  }
  TrafficHost host(
      [&](RawConnection& connection) {
        connection.ReadHead();
        connection.Write(bytes);
        std::this_thread::sleep_for(delay);
        connection.Reset();
      },
      kUploadBytes);
  for (const int n : {0, 1, 5, 20, 100}) {
    CAPTURE(n);
    delay = milliseconds(n);
    const RawCaller caller(host.address());
    caller.Write(absl::StrCat(
        "POST /run/x HTTP/1.1\r\nHost: x\r\nId: mine\r\nConnection: close\r\n"
        "Content-Length: ",
        kUploadBytes, "\r\n\r\n", std::string(kUploadBytes, 'u')));
    CHECK(absl::StartsWith(caller.ReadAll(), "HTTP/1.1 502 "));
  }
}

// Seen on other systems: an answer with such a line reached the client, with
// the line passed on or with a body that was not the upstream's.
TEST_CASE("a head with a bad field name must not reach the caller") {
  std::string bytes;
  // The rest is written when the host has read the bytes before.
  size_t cut = 0;
  TrafficHost host([&](RawConnection& connection) {
    connection.ReadRequest();
    connection.Write(bytes.substr(0, cut));
    std::this_thread::sleep_for(milliseconds(cut > 0 ? 2 : 0));
    connection.Write(bytes.substr(cut));
  });
  const auto call = [&host] {
    const RawCaller caller(host.address());
    caller.Write(
        "POST /run/x HTTP/1.1\r\nHost: x\r\nId: mine\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n");
    return caller.ReadAll();
  };
  SUBCASE("with a length") {
    for (const std::string& head : support::HeadsWithBadFieldName(
             {"Id: mine", "Digest: d", "Content-Length: 2"})) {
      CAPTURE(head);
      bytes = absl::StrCat(head, "ok");
      CHECK(absl::StartsWith(call(), "HTTP/1.1 502 "));
    }
  }
  SUBCASE("up to the end of the connection") {
    for (const std::string& head :
         support::HeadsWithBadFieldName({"Id: mine", "Digest: d"})) {
      CAPTURE(head);
      bytes = absl::StrCat(head, "ok");
      CHECK(absl::StartsWith(call(), "HTTP/1.1 502 "));
    }
  }
  SUBCASE("behind an interim response, or in one") {
    for (const std::string& head : support::HeadsWithBadFieldName(
             {"Id: mine", "Digest: d", "Content-Length: 2"})) {
      CAPTURE(head);
      bytes = absl::StrCat("HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n", head, "ok");
      CHECK(absl::StartsWith(call(), "HTTP/1.1 502 "));
    }
    bytes = absl::StrCat("HTTP/1.1 103 Hints\r\n X: y\r\n\r\n", kHead,
                         "Content-Length: 2\r\n\r\nok");
    CHECK(absl::StartsWith(call(), "HTTP/1.1 502 "));
  }
  SUBCASE("in two parts, divided at any byte") {
    bytes = absl::StrCat(kHead, " X: y\r\nContent-Length: 2\r\n\r\nok");
    for (cut = 1; cut < bytes.size(); ++cut) {
      CAPTURE(cut);
      CHECK(absl::StartsWith(call(), "HTTP/1.1 502 "));
    }
  }
  SUBCASE("but a body may begin with a blank") {
    for (const char* body : {" b", "\tb", "\r\n b"}) {
      CAPTURE(std::string(body));
      bytes = absl::StrCat(kHead, "\r\n", body);
      for (cut = 0; cut < bytes.size(); ++cut) {
        CAPTURE(cut);
        const std::string answer = call();
        CHECK(absl::StartsWith(answer, "HTTP/1.1 200 "));
        CHECK(absl::EndsWith(answer, absl::StrCat("\r\n\r\n", body)));
      }
    }
  }
}

}  // namespace toucandock::entry
