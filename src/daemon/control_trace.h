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

// Writes the trace that the setting `trace_file` asks for. After Start(), only
// the control thread may use it.
class ControlTrace {
 public:
  explicit ControlTrace(const settings::Settings& settings);

  // Writes the first line and returns the hook that writes events. The hook is
  // empty when no trace is set.
  std::function<void(const core::control::Event&, core::TimePoint)> Start(
      const core::control::ControllerOptions& options);
  // Returns a hook that generates record ids with `generate` and writes them to
  // the trace.
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
