#ifndef TOUCANDOCK_PROXY_HEADER_RULES_H_
#define TOUCANDOCK_PROXY_HEADER_RULES_H_

#include <string>

#include "absl/strings/string_view.h"
#include "http/message.h"

namespace toucandock::proxy {

bool IsEndToEndHeader(absl::string_view name);
http::Headers EndToEndHeaders(const http::Headers& headers);
bool IsVisibleAscii(absl::string_view text);
// Returns whether the request can be sent to a target as it was received.
bool IsForwardable(const http::Request& request);
std::string HeaderOr(const http::Headers& headers,
                     absl::string_view name,
                     const std::string& default_value);

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_HEADER_RULES_H_
