#ifndef TOUCANDOCK_CORE_REQUEST_REQUEST_LIFECYCLE_H_
#define TOUCANDOCK_CORE_REQUEST_REQUEST_LIFECYCLE_H_

#include <cstdint>

#include "core/error_kind.h"
#include "core/time.h"

namespace toucandock::core::request {

// How far one attempt to send a request has progressed.
enum class AttemptStage {
  kNotConnected,
  kConnected,
  // Part of the request may have reached the target.
  kSending,
  kSent,
  kHeadersReceived,
  kComplete,
};

enum class RouteResult { kReady, kNoOwner, kNoAuthority, kNotConfigured };

enum class RecordResult {
  kRecorded,
  // Another arrival of the request was recorded and may have run.
  kDuplicate,
  kDuplicateRan,
  // The request's id belongs to another request.
  kReusedId,
  kFailed,
};

struct AttemptResult {
  AttemptStage stage = AttemptStage::kNotConnected;
  // The target's complete response says that it did not run the request.
  bool refused_by_target = false;
  bool too_large = false;
  bool caller_gone = false;
  // The request was not run because the queue or the target is overloaded.
  bool overloaded = false;
};

struct RequestProperties {
  bool idempotent = false;
  TimePoint deadline;
};

enum class NextStep {
  kRoute,
  kRecord,
  kSend,
  // Wait for a new routing snapshot, at most until `until`, then route again.
  kWait,
  kReturnResponse,
  kRefuse,
};

struct Decision {
  NextStep step = NextStep::kRoute;
  TimePoint until;
  ErrorKind error = ErrorKind::kNone;
  Outcome outcome = Outcome::kNotRun;
};

struct RetryOptions {
  Duration initial_backoff = std::chrono::milliseconds(5);
  Duration max_backoff = std::chrono::milliseconds(200);
  int max_attempts = 5;
  // Delay before an attempt that could not be recorded is recorded again.
  Duration record_backoff = std::chrono::milliseconds(50);
};

// The lifecycle of one request as a state machine. From what is known at each
// point it decides whether to route, record, send, wait, return the response or
// refuse the request. Its user carries out each decision and reports the
// result.
class RequestLifecycle {
 public:
  // `random` seeds the jitter of the retry delays; any value will do.
  RequestLifecycle(const RequestProperties& properties,
                   const RetryOptions& options,
                   std::uint64_t random);

  Decision Start(TimePoint now) const;
  Decision OnRoute(RouteResult result, TimePoint now);
  Decision OnRecord(RecordResult result, TimePoint now) const;
  Decision OnPoison(bool same_request) const;
  Decision OnAttempt(const AttemptResult& result,
                     bool retry_allowed,
                     TimePoint now);

  int attempts() const { return attempts_; }
  // Some attempt may have run the request.
  bool may_have_run() const { return may_have_run_; }

 private:
  Decision Refuse(ErrorKind error) const;
  Decision Retry(ErrorKind final_error, bool retry_allowed, TimePoint now);

  const RequestProperties properties_;
  const RetryOptions options_;
  std::uint64_t random_;
  int attempts_ = 0;
  // Attempts that reached the target. The others put no load on it and do not
  // count against `max_attempts`.
  int connected_attempts_ = 0;
  bool may_have_run_ = false;
  bool recorded_ = false;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_REQUEST_LIFECYCLE_H_
