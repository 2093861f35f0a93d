#include "cli/flag_check.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace toucandock::cli {

// Returns what is wrong with the flags, or an empty text. The flag library
// would end the process with an exit code that is not in the error table.
std::string FindFlagFault(
    const std::vector<std::string>& arguments,
    const std::function<bool(absl::string_view)>& is_known) {
  for (size_t n = 0; n < arguments.size(); ++n) {
    absl::string_view flag = arguments[n];
    if (flag == "--") {
      return "";
    }
    if (flag.size() < 2 || flag[0] != '-') {
      continue;
    }
    flag.remove_prefix(absl::StartsWith(flag, "--") ? 2 : 1);
    const size_t equals = flag.find('=');
    const absl::string_view name = flag.substr(0, equals);
    if (!is_known(name)) {
      return absl::StrCat("unknown option '", arguments[n],
                          "'; try 'toucandock help'");
    }
    if (equals == absl::string_view::npos && ++n == arguments.size()) {
      return absl::StrCat("option --", name, " needs a value, --", name,
                          "=VALUE");
    }
  }
  return "";
}

}  // namespace toucandock::cli
