#include "util/hash.h"

#include <xxhash.h>

namespace toucandock::util {

// XXH3 64-bit hash. The value is part of the placement of keys: all hosts must
// compute the same one, so neither algorithm nor seeds may change.
std::uint64_t Hash64(absl::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace toucandock::util
