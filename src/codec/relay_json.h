#ifndef TOUCANDOCK_CODEC_RELAY_JSON_H_
#define TOUCANDOCK_CODEC_RELAY_JSON_H_

#include <string>

#include "absl/status/statusor.h"

namespace toucandock::codec {

// A call that another host is asked to forward.
struct RelayCall {
  // Peer address of the host that the call is for.
  std::string address;
  std::string method;
  // Parameters as a JSON object.
  std::string params;
};

std::string EncodeRelay(const RelayCall& call);
absl::StatusOr<RelayCall> ParseRelay(const std::string& text);

}  // namespace toucandock::codec

#endif  // TOUCANDOCK_CODEC_RELAY_JSON_H_
