#ifndef TOUCANDOCK_CORE_REQUEST_FINGERPRINT_H_
#define TOUCANDOCK_CORE_REQUEST_FINGERPRINT_H_

#include <string>

#include "absl/strings/string_view.h"

namespace toucandock::core::request {

// The parts in which two requests must agree to count as the same one, apart
// from their ids.
struct RequestContent {
  absl::string_view method;
  absl::string_view path;
  absl::string_view query;
  absl::string_view key;
  absl::string_view body;
  // Empty if requests are not distinguished by host.
  absl::string_view host;
};

std::string Fingerprint(const RequestContent& content);

// Returns the fingerprint of a request combined with its caller.
std::string CallerFingerprint(absl::string_view caller,
                              absl::string_view fingerprint);

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_FINGERPRINT_H_
