#ifndef TOUCANDOCK_PROXY_TARGET_CLIENT_H_
#define TOUCANDOCK_PROXY_TARGET_CLIENT_H_

#include <chrono>
#include <functional>
#include <string>

#include "core/control/messages.h"
#include "http/client.h"

namespace toucandock::proxy {

// Sends control requests to targets: grants and health probes.
class TargetClient {
 public:
  TargetClient(http::Client& client, std::chrono::milliseconds timeout);

  core::control::TargetAnswer SendGrant(const std::string& address,
                                        const core::control::Grant& grant);
  core::control::TargetAnswer Probe(const std::string& address);

 private:
  core::control::TargetAnswer Call(const std::string& address,
                                   const http::Request& request);

  http::Client& client_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_TARGET_CLIENT_H_
