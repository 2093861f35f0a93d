#ifndef TOUCANDOCK_CORE_REQUEST_FINGERPRINT_H_
#define TOUCANDOCK_CORE_REQUEST_FINGERPRINT_H_

#include <string>

#include "absl/strings/string_view.h"

namespace toucandock::core::request {

// What makes two requests the same one, apart from their ids.
struct RequestContent {
  absl::string_view method;
  absl::string_view path;
  absl::string_view query;
  absl::string_view key;
  absl::string_view body;
  // Empty where requests are not told apart by host.
  absl::string_view host;
};

std::string Fingerprint(const RequestContent& content);

// Of the request as one caller sends it.
std::string CallerFingerprint(absl::string_view caller,
                              absl::string_view fingerprint);

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_FINGERPRINT_H_
