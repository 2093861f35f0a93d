#include "util/command_flags.h"

#include <algorithm>
#include <cstddef>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace toucandock::util {

// Returns a message about the first wrong flag, or an empty string. The flag
// library would end the process with an exit code that is not in the error
// table. Also rewrites flag names to the form that the library expects, with
// "_" instead of "-".
std::string CheckFlags(std::vector<std::string>& arguments,
                       const FlagLookup& kind_of) {
  for (size_t n = 0; n < arguments.size(); ++n) {
    std::string& flag = arguments[n];
    if (flag == "--") {
      return "";
    }
    if (flag.size() < 2 || flag[0] != '-') {
      continue;
    }
    const size_t start = absl::StartsWith(flag, "--") ? 2 : 1;
    const size_t equals = std::min(flag.find('='), flag.size());
    std::replace(flag.begin() + static_cast<std::ptrdiff_t>(start),
                 flag.begin() + static_cast<std::ptrdiff_t>(equals), '-', '_');
    const std::string name = flag.substr(start, equals - start);
    const FlagKind kind = kind_of(name);
    if (kind == FlagKind::kUnknown) {
      return absl::StrCat("unknown option '", flag, "'; try --help");
    }
    const bool needs_value = kind == FlagKind::kValue && equals == flag.size();
    if (needs_value && ++n == arguments.size()) {
      return absl::StrCat("option --", name, " needs a value, --", name,
                          "=VALUE");
    }
  }
  return "";
}

}  // namespace toucandock::util
