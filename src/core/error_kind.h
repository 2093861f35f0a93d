#ifndef TOUCANDOCK_CORE_ERROR_KIND_H_
#define TOUCANDOCK_CORE_ERROR_KIND_H_

#include "absl/strings/string_view.h"

namespace toucandock::core {

// All failures that callers and operators can see.
enum class ErrorKind {
  kNone,
  kMalformedRequest,
  kUnsupportedCoding,
  kRequestTooLarge,
  kHeadersTooLarge,
  kRequestTooSlow,
  kUnknownService,
  kMissingKey,
  kNotConfigured,
  kNoAuthority,
  kOwnerUnavailable,
  kOverloaded,
  kDeadlineExceeded,
  kAttemptNotRecorded,
  kDuplicateRequest,
  kPoisonRequest,
  kCrashedTargets,
  kOutcomeUnknown,
  kAnswerTimeout,
  kAnswerIncomplete,
  kAnswerTooLarge,
  kCallerGone,
  kStopping,
  kLogUnavailable,
  kHostUnavailable,
  kConfigInvalid,
  kConfigConflict,
  kNotFound,
  kUsage,
  kInternal,
};

// What is known about the execution of the request.
enum class Outcome { kRan, kNotRun, kUnknown };

struct ErrorAnswer {
  ErrorKind kind;
  absl::string_view name;
  int http_status;
  Outcome outcome;
  // A caller may send the same request again without risk of a second run.
  bool retriable;
  int exit_code;
  absl::string_view title;
};

const ErrorAnswer& AnswerFor(ErrorKind kind);

ErrorKind ErrorKindFromName(absl::string_view name);

absl::string_view ToString(Outcome outcome);

absl::string_view ToString(ErrorKind kind);

}  // namespace toucandock::core

#endif  // TOUCANDOCK_CORE_ERROR_KIND_H_
