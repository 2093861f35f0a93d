#ifndef TOUCANDOCK_UTIL_COMMAND_FLAGS_H_
#define TOUCANDOCK_UTIL_COMMAND_FLAGS_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace toucandock::util {

// A switch is a flag that takes no value.
enum class FlagKind { kUnknown, kSwitch, kValue };

using FlagLookup = std::function<FlagKind(absl::string_view name)>;

std::string CheckFlags(std::vector<std::string>& arguments,
                       const FlagLookup& kind_of);

}  // namespace toucandock::util

#endif  // TOUCANDOCK_UTIL_COMMAND_FLAGS_H_
