#include "proxy/header_rules.h"

#include <algorithm>
#include <array>

#include "absl/strings/match.h"

namespace toucandock::proxy {
namespace {

constexpr absl::string_view kControlPrefix = "toucandock-";

// Headers that apply to one connection only (RFC 9110, section 7.6.1) or that
// the HTTP code writes itself.
constexpr std::array<absl::string_view, 11> kConnectionHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "expect",
    "content-length",
    "proxy-authorization"};

}  // namespace

// Returns whether a header is forwarded between the caller and the target.
// Control headers of the router never are.
bool IsEndToEndHeader(absl::string_view name) {
  if (absl::StartsWithIgnoreCase(name, kControlPrefix)) {
    return false;
  }
  return std::none_of(
      kConnectionHeaders.begin(), kConnectionHeaders.end(),
      [&](absl::string_view it) { return absl::EqualsIgnoreCase(it, name); });
}

bool IsVisibleAscii(absl::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

// A '#' would be read as the end of the path.
bool IsForwardable(const http::Request& request) {
  return request.method != "CONNECT" && !request.path.empty() &&
         request.path.front() == '/' && IsVisibleAscii(request.path) &&
         IsVisibleAscii(request.query) &&
         request.path.find('#') == std::string::npos &&
         request.query.find('#') == std::string::npos;
}

http::Headers EndToEndHeaders(const http::Headers& headers) {
  http::Headers result;
  for (const auto& it : headers) {
    if (IsEndToEndHeader(it.first)) {
      result.push_back(it);
    }
  }
  return result;
}

std::string HeaderOr(const http::Headers& headers,
                     absl::string_view name,
                     const std::string& default_value) {
  const std::string* value = http::FindHeader(headers, name);
  return value == nullptr ? default_value : *value;
}

}  // namespace toucandock::proxy
