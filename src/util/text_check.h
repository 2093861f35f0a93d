#ifndef TOUCANDOCK_UTIL_TEXT_CHECK_H_
#define TOUCANDOCK_UTIL_TEXT_CHECK_H_

#include "absl/strings/string_view.h"

namespace toucandock::util {

bool IsUtf8(absl::string_view text);

bool IsName(absl::string_view text);

// With kZeroAllowed, port 0 is valid and lets the kernel choose the port.
enum class PortRule { kNonZero, kZeroAllowed };

bool IsAddress(absl::string_view text, PortRule rule = PortRule::kNonZero);

}  // namespace toucandock::util

#endif  // TOUCANDOCK_UTIL_TEXT_CHECK_H_
