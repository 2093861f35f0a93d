#ifndef TOUCANDOCK_CODEC_MESSAGE_JSON_H_
#define TOUCANDOCK_CODEC_MESSAGE_JSON_H_

#include <json/value.h>

#include <map>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "core/control/messages.h"

namespace toucandock::codec {

// Messages between entry hosts. Parse errors are InvalidArgument and name the
// wrong member.
std::string Encode(const core::control::RenewRequest& message);
std::string Encode(const core::control::RenewReply& message);
std::string Encode(const core::control::VoteRequest& message);
std::string Encode(const core::control::VoteReply& message);
std::string Encode(const core::control::StateReply& message);

absl::StatusOr<core::control::RenewRequest> ParseRenewRequest(
    const std::string& text);
absl::StatusOr<core::control::RenewReply> ParseRenewReply(
    const std::string& text);
absl::StatusOr<core::control::VoteRequest> ParseVoteRequest(
    const std::string& text);
absl::StatusOr<core::control::VoteReply> ParseVoteReply(
    const std::string& text);
absl::StatusOr<core::control::StateReply> ParseStateReply(
    const std::string& text);

// The same messages as parts of a larger text; the first error is kept in
// `status`.
Json::Value ToJson(const core::control::RenewRequest& message);
Json::Value ToJson(const core::control::RenewReply& message);
Json::Value ToJson(const core::control::VoteRequest& message);
Json::Value ToJson(const core::control::VoteReply& message);
Json::Value ToJson(const core::control::StateReply& message);

Json::Value ToJson(
    const std::map<std::string, core::placement::ServiceRates>& rates);

std::map<std::string, core::placement::ServiceRates> ParseRates(
    const Json::Value& list,
    absl::Status& status);
core::control::RenewRequest ParseRenewRequest(const Json::Value& value,
                                              absl::Status& status);
core::control::RenewReply ParseRenewReply(const Json::Value& value,
                                          absl::Status& status);
core::control::VoteRequest ParseVoteRequest(const Json::Value& value,
                                            absl::Status& status);
core::control::VoteReply ParseVoteReply(const Json::Value& value,
                                        absl::Status& status);
core::control::StateReply ParseStateReply(const Json::Value& value,
                                          absl::Status& status);

}  // namespace toucandock::codec

#endif  // TOUCANDOCK_CODEC_MESSAGE_JSON_H_
