#include "http/message.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace toucandock::http {
namespace {

int HexValue(char c) {
  if (absl::ascii_isdigit(c)) {
    return c - '0';
  }
  return absl::ascii_tolower(c) - 'a' + 10;
}

std::string PercentDecode(absl::string_view text) {
  std::string result;
  for (size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size() &&
        absl::ascii_isxdigit(text[n + 1]) &&
        absl::ascii_isxdigit(text[n + 2])) {
      result +=
          static_cast<char>(HexValue(text[n + 1]) * 16 + HexValue(text[n + 2]));
      n += 2;
    } else {
      result += text[n] == '+' ? ' ' : text[n];
    }
  }
  return result;
}

}  // namespace

// Header names are compared without regard to case (RFC 9110, section 5.1).
// Returns nullptr when there is no such header.
const std::string* FindHeader(const Headers& headers, absl::string_view name) {
  for (const auto& [key, value] : headers) {
    if (absl::EqualsIgnoreCase(key, name)) {
      return &value;
    }
  }
  return nullptr;
}

// Returns the decoded value, or an empty text when there is no such parameter.
std::string QueryParameter(const Request& request, absl::string_view name) {
  for (absl::string_view part : absl::StrSplit(request.query, '&')) {
    const std::pair<absl::string_view, absl::string_view> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (pair.first == name) {
      return PercentDecode(pair.second);
    }
  }
  return "";
}

Response JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace toucandock::http
