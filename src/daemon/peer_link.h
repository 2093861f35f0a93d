#ifndef TOUCANDOCK_DAEMON_PEER_LINK_H_
#define TOUCANDOCK_DAEMON_PEER_LINK_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "core/control/records.h"
#include "http/client.h"

namespace toucandock::daemon {

// Largest body of a call between entry hosts; the state of a large fleet is
// the largest of them.
inline constexpr size_t kPeerBodyBytes = 64 << 20;

struct PeerLinkHooks {
  core::HostId self;
  std::function<std::vector<core::control::HostInfo>()> members;
};

// Calls methods of other entry hosts. Answers are JSON texts; an empty one
// means that none arrived in time.
class PeerLink {
 public:
  PeerLink(http::Client& client,
           std::chrono::milliseconds timeout,
           PeerLinkHooks hooks);

  std::string Call(const std::string& address,
                   const std::string& method,
                   const std::string& params);
  std::string CallOrRelay(const std::string& address,
                          const std::string& method,
                          const std::string& params);
  // Serves the method "relay".
  std::string Relay(const std::string& params);

 private:
  http::Client& client_;
  const std::chrono::milliseconds timeout_;
  const PeerLinkHooks hooks_;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_PEER_LINK_H_
