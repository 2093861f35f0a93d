#ifndef TOUCANDOCK_DAEMON_OPERATOR_HANDLER_H_
#define TOUCANDOCK_DAEMON_OPERATOR_HANDLER_H_

#include <chrono>
#include <functional>
#include <string>

#include "core/control/host_controller.h"
#include "http/message.h"
#include "observe/decision_history.h"
#include "observe/metrics.h"

namespace toucandock::daemon {

// The data and actions behind the operators' port.
struct OperatorHooks {
  std::function<core::control::ControllerStatus()> status;
  // Returns the text of the configuration in force with its version.
  std::function<std::string()> config_text;
  // Returns a description of the current owner of a key and sets `unit`.
  // Returns an empty text when the service is unknown or not keyed.
  std::function<std::string(const std::string& service,
                            const std::string& key,
                            std::string& unit)>
      owner_of;
  std::function<bool()> is_stopping;
  std::function<void()> stop;
};

// Handles the requests on the operators' port.
class OperatorHandler {
 public:
  OperatorHandler(const observe::DecisionHistory& history,
                  const observe::Metrics& metrics,
                  OperatorHooks hooks);

  http::Response Serve(const http::Request& request) const;

 private:
  http::Response Status() const;
  http::Response Decisions(const http::Request& request) const;
  http::Response Explain(const http::Request& request) const;
  http::Response Ready() const;

  const observe::DecisionHistory& history_;
  const observe::Metrics& metrics_;
  const OperatorHooks hooks_;
  const std::chrono::system_clock::time_point started_at_ =
      std::chrono::system_clock::now();
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_OPERATOR_HANDLER_H_
