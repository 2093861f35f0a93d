#ifndef TOUCANDOCK_CORE_REQUEST_REQUEST_LIFECYCLE_H_
#define TOUCANDOCK_CORE_REQUEST_REQUEST_LIFECYCLE_H_

#include <cstdint>

#include "core/error_kind.h"
#include "core/time.h"

namespace toucandock::core::request {

// What is known of one attempt to send a request.
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
  // The whole answer says that the target did not run the request.
  bool refused_by_target = false;
  bool too_large = false;
  bool caller_gone = false;
  // Not run for lack of room, in the queue or at the target.
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
  // Wait for a new view of ownership, at most until `until`, then route again.
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
  // Before an attempt that could not be recorded is recorded again.
  Duration record_backoff = std::chrono::milliseconds(50);
};

// The life of one request as a state machine: what is known at each point, and
// so whether to route, send, wait, pass on or refuse. The caller does what it
// says and reports back.
class RequestLifecycle {
 public:
  // `random` spreads retries; any value will do.
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
  // Attempts that reached the target; the others cost it nothing.
  int connected_attempts_ = 0;
  bool may_have_run_ = false;
  bool recorded_ = false;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_REQUEST_LIFECYCLE_H_
