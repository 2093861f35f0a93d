#include "util/hash.h"

#include <xxhash.h>

namespace toucandock::util {

// XXH3 64-bit hash. The placement of keys depends on its value, and all hosts
// must compute the same one, so neither the algorithm nor the seeds may change.
std::uint64_t Hash64(absl::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace toucandock::util
