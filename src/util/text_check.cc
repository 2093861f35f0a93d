#include "util/text_check.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace toucandock::util {
namespace {

// Longest label of a domain name (RFC 1035).
constexpr size_t kMaxNameLength = 63;
constexpr std::uint32_t kMaxOctet = 255;
constexpr std::uint32_t kMaxPort = 65'535;

// SimpleAtoi() alone would also take signs and blanks.
bool ParseNumber(absl::string_view text,
                 std::uint32_t max,
                 std::uint32_t& value) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), absl::ascii_isdigit) &&
         absl::SimpleAtoi(text, &value) && value <= max;
}

}  // namespace

// 1 to 63 of a-z, 0-9 and "-".
bool IsName(absl::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '-';
         });
}

// "a.b.c.d:port": hosts talk by IP number, so no names are resolved.
bool IsAddress(absl::string_view text, PortRule rule) {
  const size_t colon = text.rfind(':');
  std::uint32_t value = 0;
  if (colon == absl::string_view::npos ||
      !ParseNumber(text.substr(colon + 1), kMaxPort, value) ||
      (value == 0 && rule == PortRule::kGiven)) {
    return false;
  }
  const std::vector<absl::string_view> octets =
      absl::StrSplit(text.substr(0, colon), '.');
  return octets.size() == 4 &&
         std::all_of(octets.begin(), octets.end(), [&](absl::string_view it) {
           return ParseNumber(it, kMaxOctet, value);
         });
}

}  // namespace toucandock::util
