#include "daemon/control_clients.h"

namespace toucandock::daemon {
namespace {

http::ByteCounter Count(observe::Metrics& metrics, const char* with) {
  return [&metrics, with](std::uint64_t sent, std::uint64_t received) {
    metrics.CountControlBytes(with, sent, received);
  };
}

}  // namespace

ControlClients::ControlClients(observe::Metrics& metrics)
    : peers(Count(metrics, "peer")),
      log(Count(metrics, "log")),
      targets(Count(metrics, "target")),
      host_list(Count(metrics, "host-list")) {}

}  // namespace toucandock::daemon
