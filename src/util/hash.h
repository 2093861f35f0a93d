#ifndef TOUCANDOCK_UTIL_HASH_H_
#define TOUCANDOCK_UTIL_HASH_H_

#include <cstdint>

#include "absl/strings/string_view.h"

namespace toucandock::util {

std::uint64_t Hash64(absl::string_view text, std::uint64_t seed = 0);

}  // namespace toucandock::util

#endif  // TOUCANDOCK_UTIL_HASH_H_
