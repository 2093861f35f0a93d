#include "net/message_framing.h"

#include <vector>

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

}  // namespace toucandock::net
