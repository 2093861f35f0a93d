#include "core/request/fingerprint.h"

#include "absl/strings/str_cat.h"
#include "util/hash.h"

namespace toucandock::core::request {
namespace {

// Any two different seeds give independent halves.
constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kSecondSeed = 2;

std::string Hash128(absl::string_view text) {
  return absl::StrCat(
      absl::Hex(util::Hash64(text, kFirstSeed), absl::kZeroPad16),
      absl::Hex(util::Hash64(text, kSecondSeed), absl::kZeroPad16));
}

}  // namespace

// Returns 32 hexadecimal digits. The hash is not cryptographic: it detects an
// accidental reuse of an id, not a forged one. The lengths of the parts are
// hashed as well, so that moving a byte from one part to the next changes the
// result.
std::string Fingerprint(const RequestContent& content) {
  const std::string host =
      content.host.empty()
          ? ""
          : absl::StrCat(content.host.size(), ":", content.host, "/");
  return Hash128(absl::StrCat(
      host, content.method.size(), ":", content.path.size(), ":",
      content.query.size(), ":", content.key.size(), ":", content.method,
      content.path, content.query, content.key, Hash128(content.body)));
}

std::string CallerFingerprint(absl::string_view caller,
                              absl::string_view fingerprint) {
  return Hash128(absl::StrCat(caller, "/", fingerprint));
}

}  // namespace toucandock::core::request
