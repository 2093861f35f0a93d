#ifndef TOUCANDOCK_DAEMON_CONTROL_TRACE_H_
#define TOUCANDOCK_DAEMON_CONTROL_TRACE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/control/host_controller.h"
#include "core/control/messages.h"
#include "replay/trace_writer.h"
#include "settings/settings.h"

namespace toucandock::daemon {

// The trace that the setting `trace_file` asks for. After Start(), used by the
// control thread only.
class ControlTrace {
 public:
  explicit ControlTrace(const settings::Settings& settings);

  // Writes the first line; returns the hook for events, empty without a trace.
  std::function<void(const core::control::Event&, core::TimePoint)> Start(
      const core::control::ControllerOptions& options);
  // Returns a hook that draws record ids and writes them.
  std::function<std::string()> NewRecordId(
      std::function<std::string()> generate);

 private:
  void Write(const codec::TraceLine& line);

  const std::string file_;
  const std::uint64_t limit_bytes_;
  std::optional<replay::TraceWriter> writer_;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_CONTROL_TRACE_H_
