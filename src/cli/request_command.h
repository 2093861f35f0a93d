#ifndef TOUCANDOCK_CLI_REQUEST_COMMAND_H_
#define TOUCANDOCK_CLI_REQUEST_COMMAND_H_

#include <string>
#include <vector>

#include "cli/command.h"

namespace toucandock::cli {

Answer ExplainRequest(const std::vector<std::string>& arguments,
                      const Options& options);

}  // namespace toucandock::cli

#endif  // TOUCANDOCK_CLI_REQUEST_COMMAND_H_
