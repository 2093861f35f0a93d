#include "net/message_framing.h"

#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

namespace toucandock::net {

namespace http = boost::beast::http;

core::request::Framing FramingOf(const http::fields& fields, unsigned version) {
  constexpr unsigned kHttp11 = 11;
  std::vector<absl::string_view> codings;
  const auto range = fields.equal_range(http::field::transfer_encoding);
  for (auto it = range.first; it != range.second; ++it) {
    codings.emplace_back(it->value().data(), it->value().size());
  }
  return core::request::ClassifyFraming(
      codings, version >= kHttp11,
      fields.count(http::field::content_length) > 0);
}

bool HasFoldedLine(boost::asio::const_buffer unparsed) {
  absl::string_view head(static_cast<const char*>(unparsed.data()),
                         unparsed.size());
  // Only the empty line at the end of the head may be left.
  if (absl::StartsWith(head, "\r\n")) {
    return false;
  }
  head = head.substr(0, head.find("\r\n\r\n"));
  return absl::StrContains(head, "\r\n ") || absl::StrContains(head, "\r\n\t");
}

}  // namespace toucandock::net
