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

// Maximum body size of a call between entry hosts. The state of a large fleet
// is the largest body.
inline constexpr size_t kPeerBodyBytes = 64 << 20;

struct PeerLinkHooks {
  core::HostId self;
  std::function<std::vector<core::control::HostInfo>()> members;
};

// Calls methods of other entry hosts. Replies are JSON texts; an empty text
// means that no reply arrived in time.
class PeerLink {
 public:
  PeerLink(http::Client& client,
           std::chrono::milliseconds timeout,
           PeerLinkHooks hooks);

  std::string Call(const std::string& address,
                   const std::string& method,
                   const std::string& params);
  // Calls the peer and, when it does not reply, calls it through other members.
  std::string CallOrRelay(const std::string& address,
                          const std::string& method,
                          const std::string& params);
  // Handles the method "relay".
  std::string Relay(const std::string& params);

 private:
  http::Client& client_;
  const std::chrono::milliseconds timeout_;
  const PeerLinkHooks hooks_;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_PEER_LINK_H_
