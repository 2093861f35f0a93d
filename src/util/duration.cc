#include "util/duration.h"

#include <array>
#include <cstdint>
#include <limits>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace toucandock::util {
namespace {

struct UnitSuffix {
  absl::string_view suffix;
  std::int64_t nanoseconds;
};

// Ordered from the largest unit down, so that FormatDuration() picks the
// largest unit that divides the value.
constexpr std::array<UnitSuffix, 5> kUnits = {{
    {"h", 3'600'000'000'000},
    {"m", 60'000'000'000},
    {"s", 1'000'000'000},
    {"ms", 1'000'000},
    {"us", 1'000},
}};

}  // namespace

// Parses a whole number followed by one of the units us, ms, s, m, h.
absl::StatusOr<std::chrono::nanoseconds> ParseDuration(absl::string_view text) {
  const size_t n = text.find_first_not_of("0123456789");
  std::int64_t count = 0;
  if (n == absl::string_view::npos || n == 0 ||
      !absl::SimpleAtoi(text.substr(0, n), &count)) {
    return absl::InvalidArgumentError(absl::StrCat(
        "'", text,
        "' is not a duration; write a number and a unit, such as 250ms"));
  }
  for (const UnitSuffix& unit : kUnits) {
    if (text.substr(n) != unit.suffix) {
      continue;
    }
    if (count > std::numeric_limits<std::int64_t>::max() / unit.nanoseconds) {
      return absl::InvalidArgumentError(
          absl::StrCat("'", text, "' is too long a duration"));
    }
    return std::chrono::nanoseconds(count * unit.nanoseconds);
  }
  return absl::InvalidArgumentError(absl::StrCat(
      "'", text, "' has an unknown unit; use one of us, ms, s, m, h"));
}

// Returns the text that ParseDuration() reads back, in the largest unit that
// divides the value; values below 1 us are cut off.
std::string FormatDuration(std::chrono::nanoseconds duration) {
  for (const UnitSuffix& unit : kUnits) {
    if (duration.count() != 0 && duration.count() % unit.nanoseconds == 0) {
      return absl::StrCat(duration.count() / unit.nanoseconds, unit.suffix);
    }
  }
  return absl::StrCat(duration.count() / 1'000, "us");
}

}  // namespace toucandock::util
