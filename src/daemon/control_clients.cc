#include "daemon/control_clients.h"

namespace toucandock::daemon {
namespace {

http::ByteCounter MakeByteCounter(observe::Metrics& metrics,
                                  const char* peer_kind) {
  return [&metrics, peer_kind](std::uint64_t sent, std::uint64_t received) {
    metrics.CountControlBytes(peer_kind, sent, received);
  };
}

}  // namespace

ControlClients::ControlClients(observe::Metrics& metrics)
    : peers(MakeByteCounter(metrics, "peer")),
      log(MakeByteCounter(metrics, "log")),
      targets(MakeByteCounter(metrics, "target")),
      host_list(MakeByteCounter(metrics, "host-list")) {}

}  // namespace toucandock::daemon
