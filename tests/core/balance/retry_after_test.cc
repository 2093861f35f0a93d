#include "core/balance/retry_after.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace toucandock::core::balance {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Sun, 06 Nov 1994 08:49:37 GMT, the example of RFC 9110.
const auto kSentAt = absl::ToChronoTime(absl::FromUnixSeconds(784'111'777));

struct Row {
  std::string text;
  std::optional<Duration> delay;
};

void Check(const std::vector<Row>& rows) {
  for (const Row& it : rows) {
    CAPTURE(it.text);
    CHECK(ParseRetryAfter(it.text, kSentAt) == it.delay);
  }
}

}  // namespace

// Guards against a target's request for a pause that is ignored because of its
// form, and against text without a meaning that is taken as a pause.
TEST_CASE("the delay of a Retry-After field must be read as RFC 9110 says") {
  SUBCASE("a number of seconds") {
    Check({{"2", seconds(2)},
           {"0", seconds(0)},
           {"007", seconds(7)},
           {" 3 ", seconds(3)},
           {"3600", seconds(3'600)}});
  }
  SUBCASE("with a fraction, which is rounded up") {
    Check({{"1.5", milliseconds(1'500)},
           {"0.25", milliseconds(250)},
           {"0.0001", milliseconds(1)},
           {"0.2500", milliseconds(250)},
           {"2.000", seconds(2)}});
  }
  SUBCASE("a number beyond any range is the longest delay") {
    Check({{"99999999999999999999999999", kLongestRetryAfter},
           {"9223372036854775807", kLongestRetryAfter},
           {"9223372036854775808.9", kLongestRetryAfter},
           {std::string(10'000, '9'), kLongestRetryAfter}});
  }
  SUBCASE("a date in each of the three formats") {
    Check({{"Sun, 06 Nov 1994 08:49:40 GMT", seconds(3)},
           {"Sunday, 06-Nov-94 08:49:40 GMT", seconds(3)},
           {"Sun Nov  6 08:49:40 1994", seconds(3)},
           {"Sun, 06 Nov 1994 08:49:37 GMT", seconds(0)},
           {"Sun, 06 Nov 1994 08:00:00 GMT", seconds(0)},
           {"Fri, 31 Dec 2100 23:59:59 GMT", kLongestRetryAfter}});
  }
  SUBCASE("anything else is no delay") {
    for (const char* text : {"",
                             " ",
                             "-1",
                             "+1",
                             "-0",
                             "1.",
                             ".5",
                             "1.5.5",
                             "1,5",
                             "1e3",
                             "0x10",
                             "2s",
                             "2 s",
                             "soon",
                             "nan",
                             "inf",
                             "infinite-future",
                             "1;2",
                             "Sun, 06 Nov 1994",
                             "Sun, 06 Nov 1994 08:49:40 CET",
                             "Sun, 06 Nov 99999 08:49:40 GMT",
                             "1994-11-06T08:49:40Z",
                             "\x01",
                             "\xff\xfe"}) {
      Check({{text, std::nullopt}});
    }
    Check({{std::string("2\0", 2), std::nullopt},
           {std::string(10'000, '('), std::nullopt}});
  }
}

}  // namespace toucandock::core::balance
