#include "core/balance/retry_after.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/time/time.h"

namespace toucandock::core::balance {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool IsNumber(absl::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), absl::ascii_isdigit);
}

// Returns the number of seconds, at most kLongestRetryAfter, however many
// digits the text has.
Duration ParseWholeSeconds(absl::string_view digits) {
  constexpr std::int64_t kMost =
      std::chrono::duration_cast<seconds>(kLongestRetryAfter).count();
  std::int64_t n = 0;
  for (const char digit : digits) {
    n = std::min(kMost, n * 10 + (digit - '0'));
  }
  return seconds(n);
}

// Returns the time of the digits after the decimal point, rounded up to
// milliseconds so that the delay is not too short.
Duration ParseFraction(absl::string_view digits) {
  constexpr size_t kMillisecondDigits = 3;
  std::int64_t n = 0;
  for (size_t i = 0; i < kMillisecondDigits; ++i) {
    n = n * 10 + (i < digits.size() ? digits[i] - '0' : 0);
  }
  const bool has_rest = digits.size() > kMillisecondDigits &&
                        digits.find_first_not_of('0', kMillisecondDigits) !=
                            absl::string_view::npos;
  return milliseconds(n + (has_rest ? 1 : 0));
}

}  // namespace

std::optional<Duration> ParseRetryAfter(
    absl::string_view text,
    std::chrono::system_clock::time_point sent_at) {
  text = absl::StripAsciiWhitespace(text);
  const size_t point = text.find('.');
  const absl::string_view whole = text.substr(0, point);
  if (IsNumber(whole)) {
    if (point == absl::string_view::npos) {
      return ParseWholeSeconds(whole);
    }
    const absl::string_view fraction = text.substr(point + 1);
    if (!IsNumber(fraction)) {
      return std::nullopt;
    }
    return std::min(ParseWholeSeconds(whole) + ParseFraction(fraction),
                    kLongestRetryAfter);
  }
  const auto date = ParseHttpDate(text);
  if (!date) {
    return std::nullopt;
  }
  // Whole seconds, because the difference of far dates in nanoseconds may
  // exceed the range of the type.
  const auto delay = std::chrono::ceil<seconds>(*date - sent_at);
  return std::clamp<Duration>(
      std::min(delay, std::chrono::duration_cast<seconds>(kLongestRetryAfter)),
      Duration::zero(), kLongestRetryAfter);
}

std::optional<std::chrono::system_clock::time_point> ParseHttpDate(
    absl::string_view text) {
  // absl::ParseTime() also accepts "infinite-future".
  if (text.empty() || !absl::ascii_isupper(text.front())) {
    return std::nullopt;
  }
  for (const char* format :
       {"%a, %d %b %Y %H:%M:%S GMT", "%A, %d-%b-%y %H:%M:%S GMT",
        "%a %b %e %H:%M:%S %Y"}) {
    absl::Time time;
    std::string error;
    // Dates that the clock's type cannot hold are refused.
    if (absl::ParseTime(format, text, &time, &error) &&
        time > absl::FromUnixSeconds(0) &&
        time < absl::FromChrono(std::chrono::system_clock::time_point::max())) {
      return absl::ToChronoTime(time);
    }
  }
  return std::nullopt;
}

}  // namespace toucandock::core::balance
