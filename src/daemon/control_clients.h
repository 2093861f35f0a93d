#ifndef TOUCANDOCK_DAEMON_CONTROL_CLIENTS_H_
#define TOUCANDOCK_DAEMON_CONTROL_CLIENTS_H_

#include "http/client.h"
#include "observe/metrics.h"

namespace toucandock::daemon {

// One HTTP client for each kind of system that the control thread communicates
// with, so that their bytes are counted separately from each other and from
// those of callers.
struct ControlClients {
  explicit ControlClients(observe::Metrics& metrics);

  http::Client peers;
  http::Client log;
  http::Client targets;
  http::Client host_list;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_CONTROL_CLIENTS_H_
