#ifndef TOUCANDOCK_CLI_CONFIG_COMMANDS_H_
#define TOUCANDOCK_CLI_CONFIG_COMMANDS_H_

#include <string>
#include <vector>

#include "cli/command.h"

namespace toucandock::cli {

Answer Validate(const std::vector<std::string>& arguments,
                const Options& options);
Answer ShowDiff(const std::vector<std::string>& arguments,
                const Options& options);
Answer Publish(const std::vector<std::string>& arguments,
               const Options& options);
Answer Rollback(const std::vector<std::string>& arguments,
                const Options& options);
Answer ShowConfig(const std::vector<std::string>& arguments,
                  const Options& options);

}  // namespace toucandock::cli

#endif  // TOUCANDOCK_CLI_CONFIG_COMMANDS_H_
