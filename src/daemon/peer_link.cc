#include "daemon/peer_link.h"

#include <utility>

#include "absl/status/statusor.h"
#include "absl/strings/match.h"
#include "absl/strings/string_view.h"
#include "codec/relay_json.h"
#include "peer/json_rpc.h"

namespace toucandock::daemon {
namespace {

using core::control::HostInfo;

// Maximum number of members through which one call is tried.
constexpr int kMaxRelays = 2;
// Prefix of the methods that hosts relay for others.
constexpr absl::string_view kRelayedMethods = "attempt_";

}  // namespace

PeerLink::PeerLink(http::Client& client,
                   std::chrono::milliseconds timeout,
                   PeerLinkHooks hooks)
    : client_(client), timeout_(timeout), hooks_(std::move(hooks)) {}

std::string PeerLink::Call(const std::string& address,
                           const std::string& method,
                           const std::string& params) {
  const peer::Transport transport = [&](const std::string& body) {
    const http::ExchangeResult result =
        client_.Exchange(address,
                         {.method = "POST",
                          .path = "/rpc",
                          .headers = {{"Content-Type", "application/json"}},
                          .body = body},
                         {.connect_timeout = timeout_,
                          .timeout = timeout_,
                          .max_body = kPeerBodyBytes});
    return result.progress == http::Progress::kComplete ? result.response.body
                                                        : std::string();
  };
  return peer::CallMethod(transport, method, params);
}

// A network failure between two hosts that both reach a third one must not keep
// requests from being recorded, so the call then goes through other members.
std::string PeerLink::CallOrRelay(const std::string& address,
                                  const std::string& method,
                                  const std::string& params) {
  std::string answer = Call(address, method, params);
  int relays = 0;
  for (const HostInfo& it : hooks_.members()) {
    if (!answer.empty() || relays == kMaxRelays) {
      break;
    }
    if (it.id == hooks_.self || it.peer_address == address) {
      continue;
    }
    ++relays;
    answer = Call(it.peer_address, "relay",
                  codec::EncodeRelay({address, method, params}));
  }
  return answer;
}

// Forwards a call to the member that it is addressed to. A relayed call is not
// relayed again.
std::string PeerLink::Relay(const std::string& params) {
  const absl::StatusOr<codec::RelayCall> call = codec::ParseRelay(params);
  if (!call.ok() || !absl::StartsWith(call->method, kRelayedMethods)) {
    return "";
  }
  for (const HostInfo& it : hooks_.members()) {
    if (it.peer_address == call->address) {
      return Call(call->address, call->method, call->params);
    }
  }
  return "";
}

}  // namespace toucandock::daemon
