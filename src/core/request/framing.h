#ifndef TOUCANDOCK_CORE_REQUEST_FRAMING_H_
#define TOUCANDOCK_CORE_REQUEST_FRAMING_H_

#include <vector>

#include "absl/strings/string_view.h"

namespace toucandock::core::request {

// Whether the end of an HTTP/1.x message body is beyond doubt. If two readers
// could find different ends, bytes of a body could be taken for the next
// message on the connection (RFC 9112, section 11.2).
enum class Framing {
  kClear,
  // The final transfer coding is `chunked`, but there are other codings, which
  // this program does not decode.
  kUnsupportedCoding,
  kAmbiguous,
};

// `transfer_codings`: the values of all Transfer-Encoding fields, in order.
Framing ClassifyFraming(const std::vector<absl::string_view>& transfer_codings,
                        bool is_http_1_1,
                        bool has_content_length);

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_FRAMING_H_
