#include "observe/logging.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace toucandock::observe {

// Configures the log lines on standard error, which contain the time, the
// level, the host, the change and its cause. Requests are counted by metrics
// and not logged.
absl::Status SetUpLogging(const std::string& host, const std::string& level) {
  const spdlog::level::level_enum parsed = spdlog::level::from_str(level);
  if (parsed == spdlog::level::off && level != "off") {
    return absl::InvalidArgumentError(
        "log_level: '" + level +
        "' is not one of trace, debug, info, warning, error, off");
  }
  auto logger = std::make_shared<spdlog::logger>(
      host, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ level=%l host=%n %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(parsed);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
  return absl::OkStatus();
}

void LogStateChange(const std::string& what, const std::string& cause) {
  spdlog::info("change=\"{}\" cause=\"{}\"", what, cause);
}

}  // namespace toucandock::observe
