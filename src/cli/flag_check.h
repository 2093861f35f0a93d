#ifndef TOUCANDOCK_CLI_FLAG_CHECK_H_
#define TOUCANDOCK_CLI_FLAG_CHECK_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace toucandock::cli {

std::string FindFlagFault(
    const std::vector<std::string>& arguments,
    const std::function<bool(absl::string_view)>& is_known);

}  // namespace toucandock::cli

#endif  // TOUCANDOCK_CLI_FLAG_CHECK_H_
