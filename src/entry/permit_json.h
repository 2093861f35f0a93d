#ifndef TOUCANDOCK_ENTRY_PERMIT_JSON_H_
#define TOUCANDOCK_ENTRY_PERMIT_JSON_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/warmup/permit.h"

namespace toucandock::entry {

// A datagram about permits: the questions of a host, or the answers of the
// leader.
struct PermitMessage {
  std::vector<core::warmup::PermitQuestion> questions;
  std::vector<core::warmup::PermitAnswer> answers;

  bool operator==(const PermitMessage&) const = default;
};

// Whether a datagram is about permits.
bool IsPermitMessage(const std::string& text);

std::string EncodePermitMessage(const PermitMessage& message);

absl::StatusOr<PermitMessage> DecodePermitMessage(const std::string& text);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_PERMIT_JSON_H_
