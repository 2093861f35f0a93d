#include "daemon/control_trace.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "observe/logging.h"

namespace toucandock::daemon {

using core::control::Event;

ControlTrace::ControlTrace(const settings::Settings& settings)
    : file_(settings.trace_file), limit_bytes_(settings.trace_limit_bytes) {}

std::function<void(const Event&, core::TimePoint)> ControlTrace::Start(
    const core::control::ControllerOptions& options) {
  if (file_.empty()) {
    return nullptr;
  }
  writer_.emplace(file_, limit_bytes_);
  Write(options);
  return [this](const Event& event, core::TimePoint now) {
    Write(codec::TracedEvent{now, event});
  };
}

std::function<std::string()> ControlTrace::NewRecordId(
    std::function<std::string()> generate) {
  return [this, generate = std::move(generate)] {
    std::string id = generate();
    Write(codec::TracedRecordId{id});
    return id;
  };
}

void ControlTrace::Write(const codec::TraceLine& line) {
  if (!writer_) {
    return;
  }
  writer_->Write(line);
  if (!writer_->is_open()) {
    writer_.reset();
    observe::LogStateChange(
        absl::StrCat("trace ", file_, " ends"),
        "it cannot be written or reached trace_limit_bytes");
  }
}

}  // namespace toucandock::daemon
