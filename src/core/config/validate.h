#ifndef TOUCANDOCK_CORE_CONFIG_VALIDATE_H_
#define TOUCANDOCK_CORE_CONFIG_VALIDATE_H_

#include <string>
#include <vector>

#include "core/config/config.h"

namespace toucandock::core::config {

// A fault in a configuration: where, what is wrong, and what would be right.
struct ConfigError {
  // For example "services[2].targets[0].address".
  std::string field;
  std::string message;
};

std::vector<ConfigError> Validate(const Config& config);

}  // namespace toucandock::core::config

#endif  // TOUCANDOCK_CORE_CONFIG_VALIDATE_H_
