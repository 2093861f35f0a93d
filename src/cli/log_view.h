#ifndef TOUCANDOCK_CLI_LOG_VIEW_H_
#define TOUCANDOCK_CLI_LOG_VIEW_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "core/control/control_state.h"
#include "http/client.h"
#include "platform/log_client.h"

namespace toucandock::cli {

struct PublishRequest {
  std::string text;
  std::string author;
  std::uint64_t edited_from = 0;
  std::chrono::milliseconds wait{10'000};
};

// Accepted configuration texts that are still on the log, by version.
struct ConfigHistory {
  std::uint64_t current = 0;
  std::map<std::uint64_t, std::string> texts;
};

// Access to the log for an operator's tool: reads the control state by applying
// the log, and publishes a configuration and waits for the result.
class LogView {
 public:
  explicit LogView(platform::LogOptions options);

  absl::StatusOr<core::control::ControlState> ReadState();
  absl::StatusOr<ConfigHistory> ReadVersions();
  absl::StatusOr<core::control::PublishResult> Publish(
      const PublishRequest& request);

 private:
  http::Client client_;
  platform::LogClient log_;
};

}  // namespace toucandock::cli

#endif  // TOUCANDOCK_CLI_LOG_VIEW_H_
