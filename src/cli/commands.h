#ifndef TOUCANDOCK_CLI_COMMANDS_H_
#define TOUCANDOCK_CLI_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

#include "cli/command.h"

namespace toucandock::cli {

const std::vector<Command>& AllCommands();

std::string HelpText(const std::string& command);

int RunCommand(const std::vector<std::string>& words,
               const Options& options,
               std::ostream& out,
               std::ostream& err);

}  // namespace toucandock::cli

#endif  // TOUCANDOCK_CLI_COMMANDS_H_
