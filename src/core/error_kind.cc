#include "core/error_kind.h"

#include <array>
#include <cstddef>

namespace toucandock::core {
namespace {

using enum ErrorKind;
using enum Outcome;

// Indexed by ErrorKind.
constexpr std::array<ErrorAnswer, 30> kAnswers = {{
    {kNone, "none", 200, kRan, false, 0, "No error"},
    {kMalformedRequest, "malformed-request", 400, kNotRun, false, 3,
     "The request is malformed"},
    {kUnsupportedCoding, "unsupported-coding", 501, kNotRun, false, 3,
     "The request has a transfer coding other than chunked"},
    {kRequestTooLarge, "request-too-large", 413, kNotRun, false, 3,
     "The request is larger than the limit"},
    {kHeadersTooLarge, "headers-too-large", 431, kNotRun, false, 3,
     "The headers are larger than the limit"},
    {kRequestTooSlow, "request-too-slow", 408, kNotRun, true, 3,
     "The request did not arrive in time"},
    {kUnknownService, "unknown-service", 404, kNotRun, false, 3,
     "No such service is configured"},
    {kMissingKey, "missing-key", 400, kNotRun, false, 3,
     "The service is divided by key and the request names no key"},
    {kNotConfigured, "not-configured", 503, kNotRun, true, 4,
     "No configuration is in force on this host"},
    {kNoAuthority, "no-authority", 503, kNotRun, true, 4,
     "This host cannot prove that its view of ownership is current"},
    {kOwnerUnavailable, "owner-unavailable", 503, kNotRun, true, 4,
     "The owner of the key is lost or being replaced"},
    {kOverloaded, "overloaded", 503, kNotRun, true, 4,
     "The request was shed because it could not be served in time"},
    {kDeadlineExceeded, "deadline-exceeded", 504, kNotRun, true, 4,
     "The deadline passed before the request was sent"},
    {kAttemptNotRecorded, "attempt-not-recorded", 503, kNotRun, true, 4,
     "The attempt could not be recorded, so the request was not sent"},
    {kDuplicateRequest, "duplicate-request", 409, kUnknown, false, 4,
     "A request with this id was already started"},
    {kPoisonRequest, "poison-request", 422, kNotRun, false, 4,
     "The request is refused because it crashed targets"},
    {kCrashedTargets, "crashed-targets", 502, kRan, false, 4,
     "The same request crashed the targets that ran it; it was not sent to "
     "another one. Do not send it again"},
    {kOutcomeUnknown, "outcome-unknown", 502, kUnknown, false, 4,
     "The request was sent but no answer arrived"},
    {kAnswerTimeout, "answer-timeout", 504, kUnknown, false, 4,
     "The request was sent but not answered in time"},
    {kAnswerIncomplete, "answer-incomplete", 502, kRan, false, 4,
     "The target's answer was cut"},
    {kAnswerTooLarge, "answer-too-large", 502, kRan, false, 4,
     "The target's answer is larger than the limit"},
    {kCallerGone, "caller-gone", 499, kUnknown, false, 4,
     "The caller closed the connection"},
    {kStopping, "stopping", 503, kNotRun, true, 4, "This host is stopping"},
    {kLogUnavailable, "log-unavailable", 503, kUnknown, true, 5,
     "The platform's log cannot be reached"},
    {kHostUnavailable, "host-unavailable", 503, kNotRun, true, 5,
     "The entry host does not answer"},
    {kConfigInvalid, "config-invalid", 400, kNotRun, false, 2,
     "The configuration is invalid"},
    {kConfigConflict, "config-conflict", 409, kNotRun, false, 6,
     "Another version was published first"},
    {kNotFound, "not-found", 404, kNotRun, false, 3, "Not found"},
    {kUsage, "usage", 400, kNotRun, false, 64, "Wrong usage"},
    {kInternal, "internal", 500, kUnknown, false, 70, "Internal error"},
}};

constexpr bool IsIndexedByKind() {
  for (size_t n = 0; n < kAnswers.size(); ++n) {
    if (kAnswers[n].kind != static_cast<ErrorKind>(n)) {
      return false;
    }
  }
  return static_cast<size_t>(kInternal) + 1 == kAnswers.size();
}
static_assert(IsIndexedByKind());

}  // namespace

// Returns the table row that defines the response to a failure.
const ErrorAnswer& AnswerFor(ErrorKind kind) {
  return kAnswers[static_cast<size_t>(kind)];
}

// Returns kNone if no kind has this name.
ErrorKind ErrorKindFromName(absl::string_view name) {
  for (const ErrorAnswer& it : kAnswers) {
    if (it.name == name) {
      return it.kind;
    }
  }
  return kNone;
}

absl::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case kRan:
      return "ran";
    case kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

absl::string_view ToString(ErrorKind kind) {
  return AnswerFor(kind).name;
}

}  // namespace toucandock::core
