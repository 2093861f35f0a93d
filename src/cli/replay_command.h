#ifndef TOUCANDOCK_CLI_REPLAY_COMMAND_H_
#define TOUCANDOCK_CLI_REPLAY_COMMAND_H_

#include <string>
#include <vector>

#include "cli/command.h"

namespace toucandock::cli {

Answer ReplayTrace(const std::vector<std::string>& arguments,
                   const Options& options);

}  // namespace toucandock::cli

#endif  // TOUCANDOCK_CLI_REPLAY_COMMAND_H_
