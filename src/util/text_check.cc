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

// Maximum length of a label of a domain name (RFC 1035).
constexpr size_t kMaxNameLength = 63;
constexpr std::uint32_t kMaxOctet = 255;
constexpr std::uint32_t kMaxPort = 65'535;

// SimpleAtoi() alone would also accept signs and blanks.
bool ParseNumber(absl::string_view text,
                 std::uint32_t max,
                 std::uint32_t& value) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), absl::ascii_isdigit) &&
         absl::SimpleAtoi(text, &value) && value <= max;
}

// Returns the length of the UTF-8 sequence that starts with this byte; 0 if no
// sequence starts with it.
size_t SequenceLength(unsigned char first) {
  if (first < 0x80) {
    return 1;
  }
  if (first >= 0xC2 && first <= 0xDF) {
    return 2;
  }
  if (first >= 0xE0 && first <= 0xEF) {
    return 3;
  }
  return first >= 0xF0 && first <= 0xF4 ? 4 : 0;
}

}  // namespace

// Checks lengths and continuation bytes, which distinguishes UTF-8 text from
// other encodings and from binary data. A NUL byte does not count as text.
bool IsUtf8(absl::string_view text) {
  for (size_t n = 0; n < text.size();) {
    const size_t length = SequenceLength(static_cast<unsigned char>(text[n]));
    if (length == 0 || n + length > text.size() || text[n] == '\0') {
      return false;
    }
    for (size_t k = 1; k < length; ++k) {
      if ((static_cast<unsigned char>(text[n + k]) & 0xC0) != 0x80) {
        return false;
      }
    }
    n += length;
  }
  return true;
}

// Accepts 1 to 63 characters out of a-z, 0-9 and "-".
bool IsName(absl::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '-';
         });
}

// Accepts "a.b.c.d:port" only: hosts address each other by IP number, so names
// are not resolved.
bool IsAddress(absl::string_view text, PortRule rule) {
  const size_t colon = text.rfind(':');
  std::uint32_t value = 0;
  if (colon == absl::string_view::npos ||
      !ParseNumber(text.substr(colon + 1), kMaxPort, value) ||
      (value == 0 && rule == PortRule::kNonZero)) {
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
