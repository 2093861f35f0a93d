#ifndef TOUCANDOCK_CORE_CONFIG_VALIDATE_H_
#define TOUCANDOCK_CORE_CONFIG_VALIDATE_H_

#include <string>
#include <vector>

#include "core/config/config.h"

namespace toucandock::core::config {

// An error in a configuration: the field, and a message that says what is wrong
// and what is expected.
struct ConfigError {
  // For example "services[2].targets[0].address".
  std::string field;
  std::string message;
};

std::vector<ConfigError> Validate(const Config& config);

}  // namespace toucandock::core::config

#endif  // TOUCANDOCK_CORE_CONFIG_VALIDATE_H_
