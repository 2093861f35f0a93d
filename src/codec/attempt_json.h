#ifndef TOUCANDOCK_CODEC_ATTEMPT_JSON_H_
#define TOUCANDOCK_CODEC_ATTEMPT_JSON_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/request/attempt_registry.h"
#include "core/request/poison_registry.h"

namespace toucandock::codec {

struct FinishCall {
  core::request::AttemptKey key;
  core::request::FinishResult result = core::request::FinishResult::kRan;
};

// Parameters and results of the methods attempt_begin, attempt_finish,
// attempt_handover and poison_report between peers.
std::string Encode(const core::request::AttemptKey& key);
std::string Encode(core::request::BeginResult result);
std::string Encode(const FinishCall& call);
std::string Encode(const std::vector<core::request::AttemptRecord>& records);
std::string Encode(const std::vector<core::request::CrashReport>& reports);

absl::StatusOr<core::request::AttemptKey> ParseAttemptKey(
    const std::string& text);
absl::StatusOr<core::request::BeginResult> ParseBeginResult(
    const std::string& text);
absl::StatusOr<FinishCall> ParseFinishCall(const std::string& text);
absl::StatusOr<std::vector<core::request::AttemptRecord>> ParseAttemptRecords(
    const std::string& text);
absl::StatusOr<std::vector<core::request::CrashReport>> ParseCrashReports(
    const std::string& text);

}  // namespace toucandock::codec

#endif  // TOUCANDOCK_CODEC_ATTEMPT_JSON_H_
