#ifndef TOUCANDOCK_CORE_BALANCE_RETRY_AFTER_H_
#define TOUCANDOCK_CORE_BALANCE_RETRY_AFTER_H_

#include <chrono>
#include <optional>

#include "absl/strings/string_view.h"
#include "core/time.h"

namespace toucandock::core::balance {

// Longest delay that ParseRetryAfter() returns; longer ones are reduced to it,
// so that sums with times cannot overflow.
constexpr Duration kLongestRetryAfter = std::chrono::hours(24 * 365);

// Parses the value of a Retry-After field (RFC 9110, section 10.2.3): a number
// of seconds or a date, which is taken relative to `sent_at`, the time of the
// response. A date in the past is a delay of zero. The platform's pages also
// allow fractions of seconds. Returns no value for any other text.
std::optional<Duration> ParseRetryAfter(
    absl::string_view text,
    std::chrono::system_clock::time_point sent_at);

// Parses a date in one of the three formats of RFC 9110, section 5.6.7.
std::optional<std::chrono::system_clock::time_point> ParseHttpDate(
    absl::string_view text);

}  // namespace toucandock::core::balance

#endif  // TOUCANDOCK_CORE_BALANCE_RETRY_AFTER_H_
