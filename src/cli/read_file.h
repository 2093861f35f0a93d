#ifndef TOUCANDOCK_CLI_READ_FILE_H_
#define TOUCANDOCK_CLI_READ_FILE_H_

#include <string>

#include "absl/status/statusor.h"

namespace toucandock::cli {

absl::StatusOr<std::string> ReadFile(const std::string& file);

absl::StatusOr<std::string> NormalizeText(const std::string& file,
                                          std::string text);

}  // namespace toucandock::cli

#endif  // TOUCANDOCK_CLI_READ_FILE_H_
