#ifndef TOUCANDOCK_OBSERVE_LOGGING_H_
#define TOUCANDOCK_OBSERVE_LOGGING_H_

#include <string>

#include "absl/status/status.h"

namespace toucandock::observe {

absl::Status SetUpLogging(const std::string& host, const std::string& level);

void LogStateChange(const std::string& what, const std::string& cause);

}  // namespace toucandock::observe

#endif  // TOUCANDOCK_OBSERVE_LOGGING_H_
