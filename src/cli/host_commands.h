#ifndef TOUCANDOCK_CLI_HOST_COMMANDS_H_
#define TOUCANDOCK_CLI_HOST_COMMANDS_H_

#include <string>
#include <vector>

#include "cli/command.h"

namespace toucandock::cli {

Answer ShowStatus(const std::vector<std::string>& arguments,
                  const Options& options);
Answer ShowDecisions(const std::vector<std::string>& arguments,
                     const Options& options);
Answer Explain(const std::vector<std::string>& arguments,
               const Options& options);

std::string ToText(const Json::Value& value, const std::string& indent);

}  // namespace toucandock::cli

#endif  // TOUCANDOCK_CLI_HOST_COMMANDS_H_
