#include "proxy/forward.h"

#include <doctest/doctest.h>

#include "http/message.h"

namespace toucandock::proxy {
namespace {

using core::request::AttemptStage;
using http::Failure;
using http::Progress;

Forward MakeForward() {
  return {.metadata = {.service = "callboard",
                       .target = "callboard/127.0.0.1:7001",
                       .key = "call-17",
                       .fence = 42,
                       .request_id = "r-1",
                       .tenant = "residents",
                       .remaining = std::chrono::milliseconds(900)},
          .request = {.method = "PUT",
                      .path = "/calls/17",
                      .query = "a=1",
                      .headers = {{"Accept", "text/plain"},
                                  {"Toucandock-Forward-Fence", "7"}},
                      .body = "text"}};
}

ForwardResult RoundTrip(const ForwardResult& result) {
  return ParseForwardResult({.progress = Progress::kComplete,
                             .response = EncodeForwardResult(result)});
}

}  // namespace

// The queue host rebuilds the request from the headers and the body of the
// message. Headers of the caller with the same prefix must not replace those of
// the entry host.
TEST_CASE("a forwarded request must reach the target as its caller sent it") {
  const Forward forward = MakeForward();
  const http::Request message = EncodeForward(forward);
  const auto parsed = ParseForward(message);
  REQUIRE(parsed.ok());
  CHECK(parsed->request.method == "PUT");
  CHECK(parsed->request.path == "/calls/17");
  CHECK(parsed->request.query == "a=1");
  CHECK(parsed->request.body == "text");
  CHECK(parsed->metadata.target == forward.metadata.target);
  CHECK(parsed->metadata.key == "call-17");
  CHECK(parsed->metadata.request_id == "r-1");
  CHECK(parsed->metadata.tenant == "residents");
  CHECK(parsed->metadata.remaining == forward.metadata.remaining);

  SUBCASE("a header of the caller does not replace the fence") {
    CHECK(parsed->metadata.fence == 42);
    CHECK(parsed->request.headers == http::Headers{{"Accept", "text/plain"}});
  }

  SUBCASE("a message without a fence is refused") {
    http::Request broken = message;
    std::erase_if(broken.headers, [](const auto& it) {
      return it.first == "Toucandock-Forward-Fence";
    });
    CHECK(!ParseForward(broken).ok());
  }
}

// An entry host that loses its connection to the queue host may report not-run
// only when no byte of the request was written. Otherwise the caller would
// resend a request that may have run.
TEST_CASE("not-run must not be concluded from the loss of a queue host") {
  struct Row {
    const char* what;
    Progress progress;
    Failure failure;
    AttemptStage stage;
    bool unavailable;
  };
  const Row rows[] = {
      {"it refuses the connection: not run, another path is used",
       Progress::kNotConnected, Failure::kRefused, AttemptStage::kNotConnected,
       true},
      {"nothing was written: not run", Progress::kConnected, Failure::kBroken,
       AttemptStage::kNotConnected, true},
      {"part was written: may have run", Progress::kSending, Failure::kBroken,
       AttemptStage::kSent, false},
      {"it is lost after the request: may have run", Progress::kSent,
       Failure::kBroken, AttemptStage::kSent, false},
      {"it is paused: may have run, later requests avoid it", Progress::kSent,
       Failure::kTimeout, AttemptStage::kSent, true},
      {"its response is truncated: may have run", Progress::kHeadersReceived,
       Failure::kBroken, AttemptStage::kSent, false},
      {"a response that does not state the result: may have run",
       Progress::kComplete, Failure::kNone, AttemptStage::kSent, false},
  };
  for (const Row& row : rows) {
    SUBCASE(row.what) {
      const ForwardResult result = ParseForwardResult(
          {.progress = row.progress, .failure = row.failure});
      CHECK(result.attempt.stage == row.stage);
      CHECK(result.unavailable == row.unavailable);
      CHECK(!result.attempt.refused_by_target);
    }
  }
}

// The entry host decides about retries by the result that it gets from the
// queue host. With a lost or changed field it could repeat a request that ran.
TEST_CASE("the result of an attempt must reach the entry host unchanged") {
  SUBCASE("the target's response arrives complete") {
    const ForwardResult result = RoundTrip(
        {.attempt = {.stage = AttemptStage::kComplete},
         .answer = {.status = 404, .headers = {{"X-A", "1"}}, .body = "no"}});
    CHECK(result.attempt.stage == AttemptStage::kComplete);
    CHECK(result.answer.status == 404);
    CHECK(result.answer.body == "no");
    CHECK(result.answer.headers == http::Headers{{"X-A", "1"}});
  }

  SUBCASE("every stage arrives unchanged") {
    for (const AttemptStage stage :
         {AttemptStage::kNotConnected, AttemptStage::kConnected,
          AttemptStage::kSending, AttemptStage::kSent,
          AttemptStage::kHeadersReceived, AttemptStage::kComplete}) {
      CHECK(RoundTrip({.attempt = {.stage = stage}}).attempt.stage == stage);
    }
  }

  SUBCASE("the queue shed the request") {
    const ForwardResult result = RoundTrip({.attempt = {.overloaded = true}});
    CHECK(result.attempt.overloaded);
    CHECK(result.attempt.stage == AttemptStage::kNotConnected);
  }

  SUBCASE("the target refused the request") {
    const ForwardResult result =
        RoundTrip({.attempt = {.stage = AttemptStage::kComplete,
                               .refused_by_target = true}});
    CHECK(result.attempt.refused_by_target);
  }

  SUBCASE("the length of the queue arrives unchanged") {
    CHECK(RoundTrip({.remote_queue_count = 5}).remote_queue_count == 5);
  }

  SUBCASE("the queue host is stopping") {
    CHECK(RoundTrip({.unavailable = true}).unavailable);
  }
}

}  // namespace toucandock::proxy
