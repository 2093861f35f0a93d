#include "proxy/target_client.h"

#include <utility>

#include "absl/status/statusor.h"
#include "codec/target_json.h"

namespace toucandock::proxy {

using core::control::ContactResult;
using core::control::TargetAnswer;

TargetClient::TargetClient(http::Client& client,
                           std::chrono::milliseconds timeout)
    : client_(client), timeout_(timeout) {}

// A grant for a process that is not known yet has no end time on that process's
// clock. A probe is sent instead, whose response contains the clock reading: a
// grant without an end time would end the grant of an earlier leader under
// which the target is serving. The result kRejected then means that the target
// has not accepted the grant.
TargetAnswer TargetClient::SendGrant(const std::string& address,
                                     const core::control::Grant& grant) {
  if (grant.instance.empty()) {
    TargetAnswer answer = Probe(address);
    if (answer.result == ContactResult::kOk) {
      answer.result = ContactResult::kRejected;
    }
    return answer;
  }
  return Call(address, {.method = "POST",
                        .path = "/toucandock/grant",
                        .headers = {{"Content-Type", "application/json"}},
                        .body = codec::Encode(grant)});
}

TargetAnswer TargetClient::Probe(const std::string& address) {
  return Call(address, {.path = "/health"});
}

TargetAnswer TargetClient::Call(const std::string& address,
                                const http::Request& request) {
  const http::ExchangeResult result = client_.Exchange(
      address, request, {.connect_timeout = timeout_, .timeout = timeout_});
  TargetAnswer answer;
  if (result.progress != http::Progress::kComplete) {
    answer.result = result.failure == http::Failure::kTimeout
                        ? ContactResult::kTimeout
                        : ContactResult::kRefused;
    return answer;
  }
  absl::StatusOr<TargetAnswer> parsed =
      codec::ParseTargetAnswer(result.response.body);
  if (!parsed.ok()) {
    // A server responds at the address, but it is not one that can accept
    // grants.
    answer.result = ContactResult::kRefused;
    return answer;
  }
  answer = *std::move(parsed);
  answer.result = result.response.status == 200 ? ContactResult::kOk
                                                : ContactResult::kRejected;
  return answer;
}

}  // namespace toucandock::proxy
