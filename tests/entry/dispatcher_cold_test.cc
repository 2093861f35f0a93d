#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "entry/dispatcher.h"
#include "entry/health_request.h"
#include "entry/permit_json.h"
#include "entry/permit_link.h"
#include "http/raw_target.h"

namespace toucandock::entry {
namespace {

using core::ErrorKind;
using core::warmup::PermitAnswer;
using core::warmup::PermitQuestion;
using http::RawConnection;
using http::RawTarget;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;
namespace beast_http = boost::beast::http;

// A refusal "at once" is one without any waiting.
constexpr milliseconds kAtOnce{150};

// Answers each request, and health requests with the given header.
class ColdTarget {
 public:
  explicit ColdTarget(const std::string& health = "Warm-Ms: 0",
                      std::uint16_t port = 0)
      : target_(
            [this, health](RawConnection& connection) {
              for (std::string it = connection.ReadRequest(); !it.empty();
                   it = connection.ReadRequest()) {
                if (absl::StartsWith(it, "GET /health ")) {
                  health_requests++;
                  connection.Write(
                      absl::StrCat("HTTP/1.1 200 OK\r\n", health,
                                   "\r\nContent-Length: 0\r\n\r\n"));
                  continue;
                }
                requests++;
                const size_t begin = it.find("Id: ") + 4;
                connection.Write(
                    absl::StrCat("HTTP/1.1 200 OK\r\nId: ",
                                 it.substr(begin, it.find('\r', begin) - begin),
                                 "\r\nDigest: d\r\nContent-Length: 0\r\n\r\n"));
              }
            },
            port) {}

  const std::string& address() const { return target_.address(); }

  std::atomic<int> requests = 0;
  std::atomic<int> health_requests = 0;

 private:
  RawTarget target_;
};

struct CallerResult {
  bool done = false;
  CallerAnswer answer;
  milliseconds after{};

  bool IsAnswered() const {
    return answer.response && answer.response->result_int() == 200;
  }
};

// A dispatcher with one service, whose leader is a function.
class ColdFixture {
 public:
  using Leader = std::function<std::optional<PermitAnswer>(PermitQuestion)>;

  explicit ColdFixture(bool keyed = false)
      : keyed_(keyed),
        dispatcher_(io_,
                    {.request_id = "Id",
                     .deadline = "Deadline",
                     .key = "Key",
                     .expected_target = "Expected",
                     .not_executed = "Not-Run",
                     .target_load = "Load",
                     .answer_digest = "Digest",
                     .target_id = "Target",
                     .warm_up_left = "Warm-Ms"},
                    "a",
                    {},
                    {},
                    {.report_load = [](const core::keyspace::LoadReport&) {},
                     .report_poison = [](const PoisonUpdate&) {},
                     .ask_permits =
                         [this](const std::vector<PermitQuestion>& questions) {
                           Answer(questions);
                         }}) {}
  // Requests in flight would keep their connections open.
  ~ColdFixture() {
    RunUntil([this] { return dispatcher_.running() == 0; });
  }

  struct Listed {
    std::string address;
    milliseconds cold{};
    std::uint64_t sequence = 1;
  };

  // Lists the targets. The first one owns all keys.
  void List(const std::vector<Listed>& targets) {
    auto view = std::make_shared<RoutingView>();
    core::routing::RouteConfig config{.version = 1};
    config.routes = {{.host = "h",
                      .path_prefix = "/",
                      .services = {{.service = "s"}},
                      .kind = core::routing::RouteKind::kSafe,
                      .timeout = seconds(4),
                      .latency_goal = seconds(1),
                      .max_attempts = 3}};
    config.services = {{.name = "s",
                        .keyed = keyed_,
                        .health_path = "/health",
                        .cold_limit = limit}};
    view->routes = std::make_shared<core::routing::RouteTable>(config);
    for (const Listed& it : targets) {
      view->targets["s"].push_back(
          {.entry = {.instance = {.id = it.address, .start_time_ms = 1},
                     .service = "s",
                     .address = it.address,
                     .failure_domain = "a",
                     .slots = 4,
                     .sequence = it.sequence},
           .warm_at = steady_clock::now() + it.cold});
    }
    view->ownership["s"] = {
        .service = "s",
        .assignments = {
            {.owner = view->targets["s"][0].entry.instance, .serving = true}}};
    dispatcher_.SetView(std::move(view));
  }

  std::shared_ptr<CallerResult> Start() {
    net::HttpRequest request{beast_http::verb::get, "/x", 11};
    request.set(beast_http::field::host, "h");
    request.set("Id", absl::StrCat("r", ++sent_));
    request.set("Key", "7");
    auto result = std::make_shared<CallerResult>();
    const auto began = steady_clock::now();
    dispatcher_.Start(std::move(request), "10.0.0.7", began,
                      [result, began](CallerAnswer answer) {
                        result->done = true;
                        result->answer = std::move(answer);
                        result->after =
                            std::chrono::duration_cast<milliseconds>(
                                steady_clock::now() - began);
                      });
    return result;
  }

  CallerResult Send() {
    const auto result = Start();
    RunUntil([&] { return result->done; });
    return *result;
  }

  int SendMany(int requests) {
    int answered = 0;
    for (int n = 0; n < requests; ++n) {
      answered += Send().IsAnswered() ? 1 : 0;
    }
    return answered;
  }

  void RunUntil(const std::function<bool()>& done,
                milliseconds time_limit = seconds(5)) {
    const auto end = steady_clock::now() + time_limit;
    while (!done() && steady_clock::now() < end) {
      io_.run_one_for(milliseconds(5));
    }
  }
  void RunFor(milliseconds time) {
    RunUntil([] { return false; }, time);
  }
  bool Counts(const std::string& line) {
    return absl::StrContains(dispatcher_.metrics().Text(), line);
  }

  std::optional<core::routing::ColdLimit> limit =
      core::routing::ColdLimit{.warm_up = seconds(3),
                               .requests_per_second = 10};
  // Issues everything unless it is replaced.
  Leader leader = [](const PermitQuestion& it) {
    return PermitAnswer{.question = it.id, .issued = it.wanted};
  };
  int asked = 0;

 private:
  void Answer(const std::vector<PermitQuestion>& questions) {
    std::vector<PermitAnswer> answers;
    for (const PermitQuestion& it : questions) {
      asked += static_cast<int>(it.wanted);
      if (const auto answer = leader(it)) {
        answers.push_back(*answer);
      }
    }
    boost::asio::post(io_, [this, answers] { dispatcher_.OnPermits(answers); });
  }

  const bool keyed_;
  boost::asio::io_context io_;
  Dispatcher dispatcher_;
  int sent_ = 0;
};

ColdFixture::Leader RefuseFor(milliseconds due) {
  return [due](const PermitQuestion& it) {
    return PermitAnswer{.question = it.id, .next_due = due};
  };
}

}  // namespace

// Guards against requests to cold targets that their leader has not permitted,
// and against callers that wait for a permit which cannot come in time.
TEST_CASE("a cold target must get only the requests that are permitted") {
  ColdTarget cold;
  ColdTarget warm;

  SUBCASE("without a limit, it gets them as ever") {
    ColdFixture host;
    host.limit = std::nullopt;
    host.List({{.address = cold.address(), .cold = seconds(3)}});
    CHECK(host.SendMany(5) == 5);
    CHECK(host.asked == 0);
  }

  SUBCASE("without keys, a warm target comes first") {
    ColdFixture host;
    host.List({{.address = cold.address(), .cold = seconds(3)},
               {.address = warm.address()}});
    CHECK(host.SendMany(10) == 10);
    CHECK(cold.requests == 0);
    CHECK(host.asked == 0);
    SUBCASE("and a cold one gets requests when no warm one is left") {
      host.List({{.address = cold.address(), .cold = seconds(3)}});
      CHECK(host.SendMany(4) == 4);
      CHECK(cold.requests == 4);
      CHECK(host.asked == 4);
      CHECK(
          host.Counts("toucandock_entry_cold_requests_total{service=\"s\"} "
                      "4"));
      CHECK(host.Counts("toucandock_entry_permits{what=\"issued\"} 4"));
    }
    SUBCASE("or a cold one becomes warm") {
      host.List({{.address = cold.address(), .cold = milliseconds(100)}});
      host.RunFor(milliseconds(120));
      CHECK(host.SendMany(4) == 4);
      CHECK(host.asked == 0);
    }
  }

  SUBCASE("with keys, a cold owner needs permits too") {
    ColdFixture host(true);
    host.List({{.address = cold.address(), .cold = seconds(3)},
               {.address = warm.address()}});
    CHECK(host.SendMany(3) == 3);
    CHECK(cold.requests == 3);
    CHECK(host.asked == 3);

    SUBCASE("that come in time") {
      int questions = 0;
      host.leader = [&](const PermitQuestion& it) {
        return PermitAnswer{.question = it.id,
                            .issued = ++questions < 3 ? 0 : it.wanted,
                            .next_due = milliseconds(60)};
      };
      const CallerResult result = host.Send();
      CHECK(result.IsAnswered());
      CHECK(result.after >= milliseconds(110));
    }
    SUBCASE("or else its requests are refused at once") {
      host.leader = RefuseFor(milliseconds(1'500));
      const CallerResult result = host.Send();
      CHECK(result.answer.error == ErrorKind::kOwnerUnavailable);
      CHECK(result.after < kAtOnce);
      CHECK(result.answer.retry_after > milliseconds(1'300));
      CHECK(result.answer.retry_after < milliseconds(2'000));
      CHECK(host.Counts("action=\"refused\",cause=\"cold\",service=\"s\"} 1"));
      SUBCASE("until it is warm, if that is earlier") {
        host.List({{.address = cold.address(), .cold = milliseconds(1'450)}});
        const CallerResult next = host.Send();
        CHECK(next.after < kAtOnce);
        CHECK(next.answer.retry_after > milliseconds(1'250));
        CHECK(next.answer.retry_after <= milliseconds(1'815));
        CHECK(cold.requests == 3);
      }
      SUBCASE("and wait for a target that becomes warm in time") {
        host.List({{.address = cold.address(), .cold = milliseconds(800)}});
        const CallerResult next = host.Send();
        CHECK(next.IsAnswered());
        CHECK(next.after >= milliseconds(600));
      }
    }
    SUBCASE("which a lost leader does not issue for seconds") {
      host.leader = [](const PermitQuestion&) { return std::nullopt; };
      const CallerResult result = host.Send();
      CHECK(result.answer.error == ErrorKind::kOwnerUnavailable);
      CHECK(result.after >= milliseconds(250));
      CHECK(result.answer.retry_after > milliseconds(2'000));
      const CallerResult next = host.Send();
      CHECK(next.after < kAtOnce);
      CHECK(cold.requests == 3);
    }
    SUBCASE("but none at a rate of 0, which an odd figure means") {
      host.limit->requests_per_second = 0;
      host.List({{.address = cold.address(), .cold = seconds(2)}});
      const CallerResult result = host.Send();
      CHECK(result.after < kAtOnce);
      CHECK(result.answer.retry_after > milliseconds(1'800));
      CHECK(cold.requests == 3);
    }
  }
}

// Guards against a restarted target that gets the full load because its entry
// does not show yet that it is cold.
TEST_CASE("a host must notice that an unreachable target has returned") {
  const std::string address = ColdTarget().address();
  REQUIRE(net::ParseEndpoint(address).ok());
  const std::uint16_t port = net::ParseEndpoint(address)->port();
  // Ends after the host, which keeps connections to it.
  std::unique_ptr<ColdTarget> back;
  const auto restart = [&](const std::string& health) {
    back = std::make_unique<ColdTarget>(health, port);
  };
  ColdFixture host(true);
  const ColdFixture::Leader generous = host.leader;
  host.leader = RefuseFor(milliseconds(1'000));
  host.List({{.address = address}});
  CHECK_FALSE(host.Send().IsAnswered());
  CHECK(host.asked == 0);

  SUBCASE("and then send it nothing without a permit") {
    restart("Warm-Ms: 2500");
    CHECK(host.Send().answer.error == ErrorKind::kOwnerUnavailable);
    CHECK(host.asked > 0);
    CHECK(back->requests + back->health_requests == 0);
    SUBCASE("until its next entry") {
      host.List({{.address = address, .sequence = 2}});
      CHECK(host.SendMany(5) == 5);
      CHECK(back->requests == 5);
    }
    SUBCASE("and ask it once how long it remains cold") {
      host.leader = generous;
      host.RunUntil(
          [&] { return host.asked > 0 && back->health_requests > 0; });
      CHECK(host.SendMany(5) == 5);
      CHECK(back->health_requests == 1);
      CHECK(host.Counts(
          "toucandock_entry_health_requests_total{result=\"usable\"} 1"));
      const int asked = host.asked;
      CHECK(host.SendMany(1) == 1);
      CHECK(host.asked == asked + 1);
    }
  }
  SUBCASE("which it uses freely if the target says that it is warm") {
    restart("Warm-Ms: 0");
    host.leader = generous;
    CHECK(host.Send().IsAnswered());
    host.RunUntil([&] { return back->health_requests > 0; });
    host.RunFor(milliseconds(50));
    const int asked = host.asked;
    CHECK(host.SendMany(5) == 5);
    CHECK(host.asked == asked);
  }
  SUBCASE("for the time in the configuration if it says something odd") {
    restart("Warm-Ms: soon");
    host.leader = generous;
    CHECK(host.Send().IsAnswered());
    host.RunUntil([&] { return back->health_requests > 0; });
    host.RunFor(milliseconds(50));
    const int asked = host.asked;
    CHECK(host.SendMany(3) == 3);
    CHECK(host.asked == asked + 3);
    CHECK(host.Counts("health_requests_total{result=\"unusable\"} 1"));
  }
}

// Guards against messages that are odd, and against hosts that do not
// understand each other.
TEST_CASE("messages about permits must survive the way and be checked") {
  const PermitMessage message{
      .questions = {{.id = ~0ULL,
                     .instance = {.id = "t-1", .start_time_ms = 1'700'000},
                     .wanted = 16}},
      .answers = {{.question = 7,
                   .issued = 3,
                   .next_due = std::chrono::microseconds(-1'500)}}};
  const std::string text = EncodePermitMessage(message);
  CHECK(IsPermitMessage(text));
  CHECK_FALSE(IsPermitMessage(""));
  CHECK_FALSE(IsPermitMessage("[0,1]"));
  CHECK(DecodePermitMessage(text).value() == message);

  SUBCASE("a huge time is reduced") {
    CHECK(DecodePermitMessage("W[[],[[1,0,9223372036854775807]]]")
              ->answers[0]
              .next_due == std::chrono::hours(1));
  }
  SUBCASE("anything else is an error") {
    for (const char* it :
         {"W", "W{", "W[]", "W[[],[],[]]", "W[[1],[]]", "W[[],[1]]",
          "W[[[1,\"t\",5]],[]]", "W[[[-1,\"t\",5,1]],[]]",
          "W[[[1,\"\",5,1]],[]]", "W[[[1,\"a b\",5,1]],[]]",
          "W[[[1,\"t\",5,0]],[]]", "W[[[1,\"t\",5,17]],[]]",
          "W[[[1,\"t\",\"5\",1]],[]]", "W[[],[[1,17,0]]]", "W[[],[[1,-1,0]]]",
          "W[[],[[1,1,1e300]]]"}) {
      CAPTURE(std::string(it));
      CHECK_FALSE(DecodePermitMessage(it).ok());
    }
  }
  SUBCASE("the time in a health response is checked as well") {
    CHECK(ParseWarmUpLeft("1500.5") == std::chrono::microseconds(1'500'500));
    CHECK(ParseWarmUpLeft("0") == core::Duration{});
    for (const char* it : {"", "-1", "nan", "inf", "3s", "1e12", "3600001"}) {
      CAPTURE(std::string(it));
      CHECK_FALSE(ParseWarmUpLeft(it));
    }
  }
}

// Guards against questions that the leader does not answer, or that another
// host answers in its place.
TEST_CASE("questions about permits must reach the leader and come back") {
  core::TimePoint now{seconds(1'000)};
  std::string leader_address = "10.0.0.1:5";
  std::vector<std::pair<std::string, std::string>> sent;
  std::vector<PermitAnswer> delivered;
  PermitLink link(
      {}, {},
      {.now = [&] { return now; },
       .send =
           [&](const std::string& address, const std::string& text) {
             sent.emplace_back(address, text);
           },
       .leader_address = [&] { return leader_address; },
       .deliver =
           [&](const std::vector<PermitAnswer>& answers) {
             delivered = answers;
           }});
  const PermitQuestion question{.id = 3, .instance = {.id = "t"}, .wanted = 2};
  link.SetRates({{question.instance, 10}});

  SUBCASE("from a host to the address in the newest table") {
    link.Ask({question});
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].first == leader_address);
    SUBCASE("whose answer is passed on") {
      link.OnMessage(
          EncodePermitMessage({.answers = {{.question = 3, .issued = 2}}}),
          leader_address);
      CHECK(delivered.size() == 1);
    }
    SUBCASE("and is not answered by a host that is not the leader") {
      link.OnMessage(sent[0].second, "10.0.0.2:5");
      CHECK(sent.size() == 1);
    }
    SUBCASE("an odd message has no effect") {
      link.OnMessage("W[[]", "10.0.0.2:5");
      CHECK(delivered.empty());
      CHECK(sent.size() == 1);
    }
  }
  SUBCASE("nowhere while the leader is unknown") {
    leader_address = "";
    link.Ask({question});
    CHECK(sent.empty());
  }
  SUBCASE("and the leader answers them, also its own") {
    for (int n = 0; n <= 4; ++n) {
      link.OnLeadership(true, now);
      now += milliseconds(801);
    }
    link.OnMessage(EncodePermitMessage({.questions = {question}}),
                   "10.0.0.2:5");
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].first == "10.0.0.2:5");
    CHECK(DecodePermitMessage(sent[0].second)->answers[0].issued == 2);
    link.Ask({question});
    REQUIRE(delivered.size() == 1);
    CHECK(delivered[0].issued == 2);
    CHECK(sent.size() == 1);
  }
}

}  // namespace toucandock::entry
