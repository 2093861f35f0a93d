#include "observe/request_report.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace toucandock::observe {
namespace {

using core::Outcome;

// Returns a log line that `host` wrote `second` seconds after the start.
std::string Line(const std::string& host,
                 double second,
                 const std::string& event,
                 const std::string& members = "") {
  const int milliseconds = static_cast<int>(second * 1'000);
  const std::string digits = std::to_string(100'000 + milliseconds).substr(1);
  return absl::StrCat("{\"time\":\"2026-06-11T10:45:", digits.substr(0, 2), ".",
                      digits.substr(2), "Z\",\"host\":\"", host,
                      "\",\"event\":\"", event, "\"",
                      members.empty() ? "" : ",", members, "}\n");
}

std::string Refusal(const std::string& error, const std::string& members) {
  return Line("h1", 20, "refused",
              absl::StrCat("\"request\":\"r1\",\"service\":\"maps\",\"error\":"
                           "\"",
                           error, "\",\"waited_ms\":40,", members));
}

RequestReport Report(const std::string& logs) {
  std::istringstream lines(logs);
  return ReportOn("r1", lines, {});
}

}  // namespace

TEST_CASE("the cause of a failed request must be found in the hosts' logs") {
  const std::string serving_owner =
      "\"key\":700,\"owner\":\"t1\",\"owners_offset\":9,"
      "\"owner_serves\":true,\"owner_load\":9.5";
  const std::string no_owner =
      "\"key\":700,\"owner\":\"t1\",\"owners_offset\":9,"
      "\"owner_serves\":false,\"owner_load\":0.0";

  SUBCASE("a request that no line names") {
    const RequestReport report = Report(
        Line("h1", 1, "refused", "\"request\":\"r2\",\"dropped_before\":3") +
        "no log line\n");
    CHECK(report.steps.empty());
    CHECK(report.dropped_lines == 3);
    CHECK(report.unreadable_lines == 1);
  }

  SUBCASE("refused") {
    SUBCASE("because the owner of its key was full") {
      const RequestReport report =
          Report(Refusal("owner-unavailable", serving_owner));
      CHECK(report.outcome == Outcome::kNotRun);
      CHECK(report.conclusion ==
            "t1 owned key 700 and had no room: about 9.5 requests ran or "
            "waited there.");
    }
    SUBCASE("because its host had not read the current owner of the key") {
      const RequestReport report = Report(Refusal(
          "owner-unavailable", serving_owner + ",\"owner_denied\":true"));
      CHECK(report.conclusion ==
            "t1 did not hold key 700, although record 9 names it as the owner; "
            "h1 had not read a newer record within 40 ms.");
    }
    SUBCASE("because a command to an owner of its key failed") {
      const RequestReport report =
          Report(Line("h2", 17, "grant_failed",
                      "\"target\":\"t5\",\"first\":0,\"last\":600,"
                      "\"result\":\"unknown\"") +
                 Line("h2", 18, "grant_failed",
                      "\"target\":\"t1\",\"first\":601,\"last\":900,"
                      "\"result\":\"not-sent\"") +
                 Refusal("owner-unavailable", no_owner));
      CHECK(report.conclusion ==
            "Key 700 was changing its owner, and an order to t1 failed "
            "(not-sent).");
      CHECK(report.context.size() == 1);
    }
    SUBCASE("because the leader had lost the store") {
      const std::string leadership = Line("h5", 12, "duty_taken");
      const std::string lost = Line("h5", 15, "store_lost");
      const std::string refusal = Refusal("owner-unavailable", no_owner);
      CHECK(absl::StrContains(Report(refusal + lost + leadership).conclusion,
                              "while h5, which decides about owners, had lost "
                              "the store"));
      SUBCASE("but not if another host lost it, or if it was available again") {
        CHECK_FALSE(absl::StrContains(
            Report(Line("h9", 15, "store_lost") + leadership + refusal)
                .conclusion,
            "lost the store"));
        CHECK_FALSE(
            absl::StrContains(Report(lost + leadership +
                                     Line("h5", 16, "store_regained") + refusal)
                                  .conclusion,
                              "lost the store"));
      }
      SUBCASE("or if the leader had given up leadership") {
        CHECK(absl::StrContains(
            Report(leadership + Line("h5", 16, "duty_given_up") + refusal)
                .conclusion,
            "no host had the duty"));
      }
    }
    SUBCASE("because a target had no room") {
      const RequestReport report = Report(
          Refusal("overloaded", "\"cause\":\"target refused\"") +
          Line("h1", 19, "attempt_failed",
               "\"request\":\"r1\",\"target\":\"t2\",\"end\":\"not-executed\","
               "\"status\":503,\"after_ms\":4,\"next\":\"refuse\""));
      CHECK(report.conclusion ==
            "Refused for lack of room: t2 refused it with 503 after 4 ms.");
    }
    SUBCASE("because targets paused or left") {
      const std::string paused =
          Line("h1", 18, "target_paused",
               "\"target\":\"t1\",\"service\":\"maps\",\"answer_to\":\"r0\","
               "\"until_ms\":3000");
      const RequestReport keyed =
          Report(paused + Refusal("owner-unavailable",
                                  serving_owner + ",\"cause\":\"owner pauses\","
                                                  "\"retry_after_ms\":1100"));
      CHECK(keyed.outcome == Outcome::kNotRun);
      CHECK(keyed.conclusion ==
            "t1 owned key 700 and had asked h1 for a pause that outlasted the "
            "request; the caller was told to return in 1100 ms.");
      CHECK(keyed.context.size() == 1);
      const RequestReport plain =
          Report(paused + Refusal("overloaded",
                                  "\"cause\":\"all targets pause or leave\","
                                  "\"retry_after_ms\":900"));
      CHECK(absl::StrContains(plain.conclusion,
                              "Each listed target of maps had declared to h1"));
      CHECK(plain.context.size() == 1);
      CHECK(absl::StrContains(
          Report(Refusal("owner-unavailable",
                         serving_owner + ",\"cause\":\"owner leaves\""))
              .conclusion,
          "had declared to h1 that it leaves"));
    }
    SUBCASE("because the host was stopping or had no configuration") {
      CHECK(Report(Refusal("stopping", "\"key\":0")).conclusion ==
            "h1 was stopping.");
      CHECK(Report(Refusal("not-configured", "\"key\":0")).conclusion ==
            "h1 had not read a configuration yet.");
    }
  }

  SUBCASE("with an unknown outcome after a reset") {
    const auto reset = [](const std::string& idempotent) {
      return Line("h1", 19, "attempt_failed",
                  absl::StrCat("\"request\":\"r1\",\"target\":\"t2\",\"end\":"
                               "\"broken\",\"after_ms\":952,\"idempotent\":",
                               idempotent, ",\"next\":\"fail\"")) +
             Line("h1", 19.001, "failed",
                  "\"request\":\"r1\",\"error\":\"outcome-unknown\","
                  "\"last_target\":\"t2\"");
    };
    const RequestReport report =
        Report(reset("false") +
               Line("h3", 18, "target_gone", "\"target\":\"t2\",\"offset\":7") +
               Line("h4", 18, "target_gone", "\"target\":\"t2\",\"offset\":7") +
               Line("h3", 18, "target_gone", "\"target\":\"t8\",\"offset\":8"));
    CHECK(report.outcome == Outcome::kUnknown);
    CHECK(report.conclusion ==
          "It may have run: the connection to t2 ended after 952 ms without a "
          "whole answer, and it must not be sent twice.");
    CHECK(report.advice == "Ask t2 what became of the request.");
    // The record that two hosts read is listed only once.
    REQUIRE(report.context.size() == 1);
    CHECK(report.context[0].host == "h3");
    CHECK(absl::StrContains(Report(reset("true")).conclusion,
                            "no attempt, time or budget was left"));
  }

  SUBCASE("a target that did not answer in time") {
    CHECK(Report(Line("h1", 19, "failed",
                      "\"request\":\"r1\",\"error\":\"answer-timeout\","
                      "\"last_target\":\"t2\",\"waited_ms\":2500"))
              .conclusion ==
          "t2 had not answered when the caller's deadline or the route's "
          "timeout passed, after 2500 ms.");
  }

  SUBCASE("a retry after which nothing more was logged") {
    const RequestReport report = Report(
        Line("h1", 19, "attempt_failed",
             "\"request\":\"r1\",\"target\":\"t2\",\"end\":\"not-executed\","
             "\"status\":503,\"after_ms\":4,\"next\":\"retry\""));
    CHECK(report.outcome == Outcome::kUnknown);
    CHECK(absl::StrContains(report.conclusion, "by a later attempt, or still"));
  }

  SUBCASE("a caller that disconnected") {
    const auto left = [](const std::string& attempts) {
      return Line(
          "h1", 19, "caller_left",
          "\"request\":\"r1\",\"attempts\":" + attempts + ",\"waited_ms\":300");
    };
    CHECK(Report(left("0")).outcome == Outcome::kNotRun);
    CHECK(Report(left("1")).outcome == Outcome::kUnknown);
  }

  SUBCASE("an event too long before the request is no cause") {
    CHECK(Report(Line("h1", 2, "store_lost") +
                 Refusal("owner-unavailable", no_owner))
              .context.empty());
  }
}

}  // namespace toucandock::observe
