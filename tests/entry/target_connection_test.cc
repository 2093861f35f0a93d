#include "entry/target_connection.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "http/raw_target.h"
#include "support/slow_listener.h"

namespace toucandock::entry {
namespace {

using core::request::AttemptEnd;
using http::RawConnection;
using http::RawTarget;
using std::chrono::milliseconds;
namespace beast_http = boost::beast::http;

constexpr milliseconds kLongIdle{10'000};

net::HeaderNames Names() {
  return {.request_id = "Id",
          .deadline = "Deadline",
          .key = "Key",
          .expected_target = "Expected",
          .not_executed = "Not-Run",
          .target_load = "Load",
          .answer_digest = "Digest",
          .leaving = "Leaving",
          .target_id = "Target"};
}

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: " + id +
         "\r\nDigest: d\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

struct ExchangeOutcome {
  TargetAnswer answer;
  bool usable = false;
  std::vector<TargetNotice> notices;
};

// Sends one request to a target that writes `bytes` and then closes the
// connection, resets it or keeps it open.
ExchangeOutcome RunExchange(const std::string& bytes,
                            bool close,
                            bool reset = false) {
  RawTarget target([&](RawConnection& connection) {
    connection.ReadRequest();
    connection.Write(bytes);
    if (reset) {
      connection.Reset();
      return;
    }
    if (!close) {
      connection.IsClosedWithin(milliseconds(5'000));
    }
  });
  boost::asio::io_context io;
  const net::HeaderNames names = Names();
  ExchangeOutcome result;
  const auto connection = std::make_shared<TargetConnection>(
      io, *net::ParseEndpoint(target.address()), names,
      std::make_shared<AnswerMemory>(),
      TargetConnectionHooks{.on_notice = [&result](const TargetNotice& it) {
        result.notices.push_back(it);
      }});
  net::HttpRequest request{beast_http::verb::get, "/x", 11};
  request.set("Id", "mine");
  connection->Send(std::move(request), [&](TargetAnswer answer) {
    result.answer = std::move(answer);
    result.usable = connection->IsUsable(kLongIdle);
    connection->Abandon();
  });
  io.run();
  return result;
}

}  // namespace

TEST_CASE("callers must only get whole answers that are their own") {
  SUBCASE("a whole answer: the connection may be used again") {
    const ExchangeOutcome it = RunExchange(Answer("mine", "body"), false);
    CHECK(it.answer.end == AttemptEnd::kAnswered);
    CHECK(it.answer.response.body() == "body");
    CHECK(it.usable);
  }

  SUBCASE("a late answer to another request comes first") {
    const ExchangeOutcome it =
        RunExchange(Answer("other", "no") + Answer("mine", "yes"), false);
    CHECK(it.answer.end == AttemptEnd::kAnswered);
    CHECK(it.answer.response.body() == "yes");
  }

  SUBCASE("bytes follow the answer: the connection must not be reused") {
    const ExchangeOutcome it =
        RunExchange(Answer("mine", "body") + "HTTP/1.1", false);
    CHECK(it.answer.end == AttemptEnd::kAnswered);
    CHECK_FALSE(it.usable);
  }

  SUBCASE("the connection ends within the answer") {
    const std::string whole = Answer("mine", "body");
    const ExchangeOutcome it =
        RunExchange(whole.substr(0, whole.size() - 1), true);
    CHECK(it.answer.end == AttemptEnd::kBroken);
    CHECK(it.answer.cause == AttemptCause::kConnectionEnded);
    CHECK_FALSE(it.usable);
  }

  SUBCASE("the target sends bytes that are not HTTP") {
    const ExchangeOutcome it = RunExchange("nonsense\r\n\r\n", false);
    CHECK(it.answer.end == AttemptEnd::kBroken);
    CHECK(it.answer.cause == AttemptCause::kBadAnswer);
  }

  SUBCASE("an answer without a length") {
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nId: mine\r\nDigest: d\r\n\r\nbody";
    SUBCASE("is whole when the connection ends properly") {
      const ExchangeOutcome it = RunExchange(bytes, true);
      CHECK(it.answer.end == AttemptEnd::kAnswered);
      CHECK(it.answer.response.body() == "body");
      CHECK_FALSE(it.usable);
    }
    SUBCASE("is not when it is reset") {
      CHECK(RunExchange(bytes, true, true).answer.end == AttemptEnd::kBroken);
    }
  }

  SUBCASE("an answer without the target's digest is not the target's") {
    CHECK(RunExchange(
              "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n", false)
              .answer.end == AttemptEnd::kBroken);
  }

  SUBCASE("an encoded body is not the target's") {
    CHECK(RunExchange("HTTP/1.1 200 OK\r\nId: mine\r\nDigest: d\r\n"
                      "Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
                      false)
              .answer.end == AttemptEnd::kBroken);
  }

  SUBCASE("the target says that it did not run the request") {
    const ExchangeOutcome it = RunExchange(
        "HTTP/1.1 503 Full\r\nId: mine\r\nNot-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n",
        false);
    CHECK(it.answer.end == AttemptEnd::kNotExecuted);
    CHECK(it.answer.shed);
    CHECK(it.usable);
  }

  SUBCASE("another target has the address") {
    const ExchangeOutcome it = RunExchange(
        "HTTP/1.1 421 No\r\nId: mine\r\nContent-Length: 0\r\n\r\n", false);
    CHECK(it.answer.end == AttemptEnd::kNotExecuted);
    CHECK(it.answer.misdirected);
  }

  SUBCASE("nobody listens: nothing was sent") {
    RawTarget gone([](RawConnection&) {});
    gone.Stop();
    boost::asio::io_context io;
    const net::HeaderNames names = Names();
    const auto connection = std::make_shared<TargetConnection>(
        io,
        net::Tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 1),
        names, std::make_shared<AnswerMemory>());
    TargetAnswer answer{.end = AttemptEnd::kAnswered};
    connection->Send({beast_http::verb::get, "/x", 11},
                     [&answer](TargetAnswer it) { answer = std::move(it); });
    io.run();
    CHECK(answer.end == AttemptEnd::kNotSent);
    CHECK(answer.cause == AttemptCause::kConnectRefused);
  }
}

// Guards against requests that wait until their deadline for a target which no
// longer runs or whose queue of new connections is full.
TEST_CASE("a request must not wait for a connection that does not open") {
  support::SlowListener target;
  boost::asio::io_context io;
  const net::HeaderNames names = Names();
  const auto connection = std::make_shared<TargetConnection>(
      io, *net::ParseEndpoint(target.address()), names,
      std::make_shared<AnswerMemory>());
  net::HttpRequest request{beast_http::verb::get, "/x", 11};
  request.set("Id", "mine");
  TargetAnswer result;
  connection->Send(std::move(request),
                   [&](TargetAnswer answer) { result = std::move(answer); });
  // The latency goals of the users' requests begin at 300 ms, those of their
  // large fleets at 500 ms; requests wait for at least 1.2 s.
  io.run_for(milliseconds(1'000));
  CHECK(result.end == AttemptEnd::kNotSent);
  CHECK(result.cause == AttemptCause::kConnectFailed);
}

TEST_CASE("an attempt must report why its connection ended without an answer") {
  const auto serve = [](bool answers, milliseconds delay,
                        const std::string& part) {
    return [=](RawConnection& connection) {
      connection.ReadRequest();
      if (answers) {
        connection.Write(Answer("mine", "body"));
        connection.ReadRequest();
      }
      std::this_thread::sleep_for(delay);
      connection.Write(part);
      connection.Reset();
    };
  };
  const auto send = [](const RawTarget& target, int requests) {
    boost::asio::io_context io;
    const net::HeaderNames names = Names();
    const auto connection = std::make_shared<TargetConnection>(
        io, *net::ParseEndpoint(target.address()), names,
        std::make_shared<AnswerMemory>());
    TargetAnswer last;
    for (int n = 0; n < requests; ++n) {
      net::HttpRequest request{beast_http::verb::get, "/x", 11};
      request.set("Id", "mine");
      connection->Send(std::move(request),
                       [&](TargetAnswer answer) { last = std::move(answer); });
      io.run();
      io.restart();
    }
    return last;
  };

  SUBCASE("a new one that is reset at once was rejected") {
    RawTarget target(serve(false, milliseconds(0), ""));
    const TargetAnswer answer = send(target, 1);
    CHECK(answer.end == AttemptEnd::kBroken);
    CHECK(answer.rejected_connection);
    CHECK_FALSE(answer.on_stale_connection);
  }
  SUBCASE("one that is reset while the target may run the request was not") {
    RawTarget target(serve(false, milliseconds(100), ""));
    CHECK_FALSE(send(target, 1).rejected_connection);
  }
  SUBCASE("nor one on which an answer has begun") {
    RawTarget target(serve(false, milliseconds(0), "HTTP/1.1 200 OK\r\n"));
    CHECK_FALSE(send(target, 1).rejected_connection);
  }
  SUBCASE("a reused one had been closed by the target") {
    RawTarget target(serve(true, milliseconds(0), ""));
    const TargetAnswer answer = send(target, 2);
    CHECK(answer.end == AttemptEnd::kBroken);
    CHECK(answer.on_stale_connection);
    CHECK_FALSE(answer.rejected_connection);
  }
}

// Guards against a refusal that a target sends twice being taken for the
// response to a later request, which the target does run (issue 16: REFUSED,
// TWICE).
TEST_CASE(
    "an answer to an earlier request must not be taken for that to a later "
    "one") {
  const std::string refusal =
      "HTTP/1.1 503 Full\r\nId: first\r\nNot-Run: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  const std::string without_id =
      "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  // The target refuses the first request, and writes `bytes` when it has read
  // the second.
  const auto send_two = [&refusal](const std::string& bytes) {
    RawTarget target([&](RawConnection& connection) {
      connection.ReadRequest();
      connection.Write(refusal);
      connection.ReadRequest();
      connection.Write(bytes);
      connection.IsClosedWithin(milliseconds(5'000));
    });
    boost::asio::io_context io;
    const net::HeaderNames names = Names();
    const auto connection = std::make_shared<TargetConnection>(
        io, *net::ParseEndpoint(target.address()), names,
        std::make_shared<AnswerMemory>());
    ExchangeOutcome last;
    for (const char* id : {"first", "second"}) {
      net::HttpRequest request{beast_http::verb::post, "/x", 11};
      request.set("Id", id);
      connection->Send(std::move(request), [&](TargetAnswer it) {
        last.answer = std::move(it);
        last.usable = connection->IsUsable(kLongIdle);
      });
      io.run_for(milliseconds(500));
      io.restart();
    }
    connection->Abandon();
    return last;
  };

  SUBCASE("the refusal comes again, then the answer") {
    const ExchangeOutcome it = send_two(refusal + Answer("second", "body"));
    CHECK(it.answer.end == AttemptEnd::kAnswered);
    CHECK(it.answer.response.body() == "body");
  }
  SUBCASE("it comes without an id") {
    const ExchangeOutcome it = send_two(without_id);
    CHECK(it.answer.end == AttemptEnd::kBroken);
    CHECK(it.answer.cause == AttemptCause::kBadAnswer);
    CHECK_FALSE(it.usable);
  }
  SUBCASE("it comes with both ids") {
    CHECK(send_two("HTTP/1.1 503 Full\r\nId: second\r\nId: first\r\n"
                   "Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
              .answer.end == AttemptEnd::kBroken);
  }
  SUBCASE("it says that another target was meant, without an id") {
    CHECK(send_two("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n").answer.end ==
          AttemptEnd::kBroken);
  }
  SUBCASE("a success comes without an id") {
    CHECK(send_two("HTTP/1.1 200 OK\r\nDigest: d\r\nContent-Length: 0\r\n"
                   "\r\n")
              .answer.end == AttemptEnd::kBroken);
  }
  SUBCASE("the later request is refused itself") {
    const ExchangeOutcome it = send_two(
        "HTTP/1.1 503 Full\r\nId: second\r\nNot-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n");
    CHECK(it.answer.end == AttemptEnd::kNotExecuted);
    CHECK(it.usable);
  }
  SUBCASE("the first answer of a connection needs no id") {
    CHECK(RunExchange(without_id, false).answer.end ==
          AttemptEnd::kNotExecuted);
  }
}

// Guards against memory use and connections that grow without limit while a
// target sends bytes that never form a complete response (issue 16).
TEST_CASE("an endless answer must be aborted within limits") {
  const std::string head = "HTTP/1.1 200 OK\r\nId: mine\r\nDigest: d\r\n";
  std::string begin;
  std::string more = std::string(64 << 10, 'x');

  SUBCASE("in its status line") {
    begin = "HTTP/1.1 200 ";
  }
  SUBCASE("in one header") {
    begin = head + "X: ";
  }
  SUBCASE("in ever more headers") {
    begin = head;
    more = "X: y\r\n";
  }
  SUBCASE("in interim answers") {
    more = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  SUBCASE("in answers to other requests") {
    more = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n";
  }
  SUBCASE("in a body without a length") {
    begin = head + "\r\n";
  }
  SUBCASE("in chunks") {
    begin = head + "Transfer-Encoding: chunked\r\n\r\n";
    more = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  }
  SUBCASE("in an extension of a chunk") {
    begin = head + "Transfer-Encoding: chunked\r\n\r\n1;";
  }
  SUBCASE("in trailers") {
    begin = head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ";
  }
  SUBCASE("in a body whose announced length exceeds the limit") {
    begin = head + "Content-Length: 9223372036854775807\r\n\r\n";
  }

  std::atomic<size_t> written = 0;
  RawTarget target([&](RawConnection& connection) {
    connection.ReadRequest();
    connection.Write(begin);
    while (!connection.IsClosedWithin(milliseconds(0))) {
      connection.Write(more);
      written += more.size();
    }
  });
  boost::asio::io_context io;
  const net::HeaderNames names = Names();
  const auto memory = std::make_shared<AnswerMemory>();
  const auto connection = std::make_shared<TargetConnection>(
      io, *net::ParseEndpoint(target.address()), names, memory);
  net::HttpRequest request{beast_http::verb::get, "/x", 11};
  request.set("Id", "mine");
  TargetAnswer answer{.end = AttemptEnd::kAnswered};
  connection->Send(std::move(request),
                   [&answer](TargetAnswer it) { answer = std::move(it); });
  io.run_for(milliseconds(10'000));
  CHECK(answer.end == AttemptEnd::kBroken);
  CHECK(answer.cause == AttemptCause::kBadAnswer);
  CHECK(memory->reserved == 0);
  // The target has also written the bytes that are still in socket buffers.
  CHECK(written < (32 << 20));
  connection->Abandon();
}

// Guards against responses that are each within the limit of one body but
// together exceed the memory of the host.
TEST_CASE("many large answers at a time must stay within a shared limit") {
  const auto memory =
      std::make_shared<AnswerMemory>(AnswerMemory{.limit = 2 << 20});
  const std::string body(1 << 20, 'x');
  RawTarget target([&body](RawConnection& connection) {
    connection.ReadRequest();
    const std::string answer = Answer("mine", body);
    connection.Write(answer.substr(0, answer.size() - 1));
    std::this_thread::sleep_for(milliseconds(300));
    connection.Write("x");
    connection.IsClosedWithin(milliseconds(2'000));
  });
  boost::asio::io_context io;
  const net::HeaderNames names = Names();
  int whole = 0;
  int aborted = 0;
  std::vector<std::shared_ptr<TargetConnection>> connections;
  for (int n = 0; n < 4; ++n) {
    connections.push_back(std::make_shared<TargetConnection>(
        io, *net::ParseEndpoint(target.address()), names, memory));
    net::HttpRequest request{beast_http::verb::get, "/x", 11};
    request.set("Id", "mine");
    connections.back()->Send(std::move(request), [&](const TargetAnswer& it) {
      whole += it.end == AttemptEnd::kAnswered ? 1 : 0;
      aborted += it.cause == AttemptCause::kBadAnswer ? 1 : 0;
    });
  }
  io.run_for(milliseconds(3'000));
  CHECK(whole >= 1);
  CHECK(aborted >= 1);
  CHECK(whole + aborted == 4);
  CHECK(memory->reserved == 0);
  for (const auto& it : connections) {
    it->Abandon();
  }
}

// Guards against a declaration of a target that is missed because of the kind
// or the quality of the response that contains it.
TEST_CASE("what any head says about the availability of a target must count") {
  const auto notices = [](const std::string& status_and_headers,
                          const std::string& rest = "Content-Length: 0\r\n\r\n",
                          bool close = false) {
    return RunExchange("HTTP/1.1 " + status_and_headers + "\r\n" + rest, close)
        .notices;
  };
  const std::string own = "\r\nId: mine\r\nDigest: d";

  SUBCASE("that it leaves, in every kind of response") {
    for (const std::string& it :
         {"200 OK" + own, "404 Not Found" + own, "500 Failed" + own,
          "503 Full" + own + "\r\nNot-Run: 1", "421 Wrong" + own,
          "429 Many" + own + "\r\nNot-Run: 1",
          std::string("200 No digest\r\nId: mine"),
          std::string("200 No id and no digest"),
          "200 Encoded" + own + "\r\nContent-Encoding: gzip"}) {
      CAPTURE(it);
      const auto found = notices(it + "\r\nLeaving: 1\r\nTarget: t1");
      REQUIRE(found.size() == 1);
      CHECK(found[0].leaving == std::vector<std::string>{"1"});
      CHECK(found[0].target_id == "t1");
      CHECK(found[0].request_id == "mine");
    }
  }

  SUBCASE("in a response whose body cannot be used") {
    const std::string head = "200 OK" + own + "\r\nLeaving: 1";
    CHECK(notices(head, "Content-Length: 9\r\n\r\nhalf", true).size() == 1);
    CHECK(notices(head, "Content-Length: 99999999999\r\n\r\n").size() == 1);
    CHECK(notices(head, "Transfer-Encoding: gzip\r\n\r\n", true).size() == 1);
    CHECK(notices(head, "Transfer-Encoding: chunked\r\n\r\nnonsense").size() ==
          1);
  }

  SUBCASE("in a late response to another request, and in an interim one") {
    const std::string late =
        "HTTP/1.1 200 OK\r\nId: other\r\nDigest: d\r\nLeaving: 1\r\n"
        "Content-Length: 0\r\n\r\n";
    const std::string interim = "HTTP/1.1 103 Hints\r\nLeaving: 1\r\n\r\n";
    for (const std::string& it : {late, interim}) {
      CAPTURE(it);
      const ExchangeOutcome found = RunExchange(it + Answer("mine", ""), false);
      CHECK(found.notices.size() == 1);
      CHECK(found.answer.end == AttemptEnd::kAnswered);
    }
  }

  SUBCASE("that it wants a pause, with status 503 only") {
    const std::string pause = own + "\r\nRetry-After: 2\r\nRetry-After: 3";
    const auto found = notices("503 Full" + pause + "\r\nDate: now");
    REQUIRE(found.size() == 1);
    CHECK(found[0].retry_after == std::vector<std::string>{"2", "3"});
    CHECK(found[0].leaving.empty());
    CHECK(found[0].date == "now");
    CHECK(notices("429 Many" + pause).empty());
    CHECK(notices("200 OK" + pause).empty());
  }

  SUBCASE("but not a head without such a header, or one that ends early") {
    CHECK(notices("503 Full" + own).empty());
    CHECK(notices("200 OK" + own).empty());
    CHECK(notices("200 OK" + own + "\r\nLeaving: 1", "", true).empty());
  }

  SUBCASE("before the body has arrived") {
    std::atomic<bool> reported = false;
    RawTarget target([&reported](RawConnection& connection) {
      connection.ReadRequest();
      connection.Write(
          "HTTP/1.1 200 OK\r\nId: mine\r\nDigest: d\r\nLeaving: 1\r\n"
          "Content-Length: 4\r\n\r\n");
      for (int n = 0; n < 200 && !reported; ++n) {
        connection.IsClosedWithin(milliseconds(10));
      }
      connection.Write(reported ? "done" : "late");
    });
    boost::asio::io_context io;
    const net::HeaderNames names = Names();
    const auto connection = std::make_shared<TargetConnection>(
        io, *net::ParseEndpoint(target.address()), names,
        std::make_shared<AnswerMemory>(),
        TargetConnectionHooks{.on_notice = [&reported](const TargetNotice&) {
          reported = true;
        }});
    net::HttpRequest request{beast_http::verb::get, "/x", 11};
    request.set("Id", "mine");
    std::string body;
    connection->Send(std::move(request), [&](const TargetAnswer& answer) {
      body = answer.response.body();
      connection->Abandon();
    });
    io.run();
    CHECK(body == "done");
  }
}

// Guards against a request that reaches a target which declared that it leaves
// while the connection was being established.
TEST_CASE("a request must be kept back if its target becomes unavailable") {
  std::atomic<bool> has_request = false;
  RawTarget target([&has_request](RawConnection& connection) {
    has_request = !connection.ReadRequest().empty();
  });
  boost::asio::io_context io;
  const net::HeaderNames names = Names();
  const auto connection = std::make_shared<TargetConnection>(
      io, *net::ParseEndpoint(target.address()), names,
      std::make_shared<AnswerMemory>(),
      TargetConnectionHooks{.may_send = [] { return false; }});
  net::HttpRequest request{beast_http::verb::get, "/x", 11};
  request.set("Id", "mine");
  TargetAnswer result;
  connection->Send(std::move(request),
                   [&](TargetAnswer answer) { result = std::move(answer); });
  io.run();
  CHECK(result.end == AttemptEnd::kNotSent);
  CHECK(result.cause == AttemptCause::kTargetUnavailable);
  target.Stop();
  CHECK_FALSE(has_request);
}

// Guards against bytes that are no answer but reach the caller as one: HTTP has
// no status outside 100 to 599 (RFC 9110, section 15).
TEST_CASE("an answer with a status that HTTP does not have must not count") {
  for (const char* status : {"000", "001", "099", "600", "777", "999"}) {
    for (const char* header :
         {"Digest: d\r\n", "Not-Run: 1\r\n", "Digest: d\r\nLeaving: 1\r\n"}) {
      CAPTURE(std::string(status));
      CAPTURE(std::string(header));
      const std::string bytes =
          absl::StrCat("HTTP/1.1 ", status, " Odd\r\nId: mine\r\n", header,
                       "Content-Length: 4\r\n\r\nbody");
      ExchangeOutcome it = RunExchange(bytes, false);
      CHECK(it.answer.end == AttemptEnd::kBroken);
      CHECK(it.answer.cause == AttemptCause::kBadAnswer);
      CHECK_FALSE(it.answer.shed);
      CHECK_FALSE(it.usable);
      CHECK(it.notices.empty());

      // Nothing behind it counts either.
      it = RunExchange(bytes + Answer("mine", "body"), false);
      CHECK(it.answer.end == AttemptEnd::kBroken);
    }
  }

  SUBCASE("interim answers and the highest and lowest final status do") {
    for (const char* status : {"200", "404"}) {
      CAPTURE(std::string(status));
      const ExchangeOutcome it = RunExchange(
          absl::StrCat("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 ", status,
                       " X\r\nId: mine\r\nDigest: d\r\n"
                       "Content-Length: 4\r\n\r\nbody"),
          false);
      CHECK(it.answer.end == AttemptEnd::kAnswered);
      CHECK(it.usable);
    }
    CHECK(RunExchange("HTTP/1.1 599 X\r\nId: mine\r\nDigest: d\r\n"
                      "Content-Length: 0\r\n\r\n",
                      false)
              .answer.end == AttemptEnd::kFailedAnswer);
  }
}

}  // namespace toucandock::entry
