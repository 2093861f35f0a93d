#ifndef TOUCANDOCK_UTIL_DURATION_H_
#define TOUCANDOCK_UTIL_DURATION_H_

#include <chrono>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace toucandock::util {

absl::StatusOr<std::chrono::nanoseconds> ParseDuration(absl::string_view text);

std::string FormatDuration(std::chrono::nanoseconds duration);

}  // namespace toucandock::util

#endif  // TOUCANDOCK_UTIL_DURATION_H_
