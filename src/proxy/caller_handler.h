#ifndef TOUCANDOCK_PROXY_CALLER_HANDLER_H_
#define TOUCANDOCK_PROXY_CALLER_HANDLER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "core/admission/retry_budget.h"
#include "core/control/records.h"
#include "core/detection/loss_detector.h"
#include "core/request/attempt_registry.h"
#include "core/request/poison_registry.h"
#include "core/request/request_lifecycle.h"
#include "core/routing/routing_snapshot.h"
#include "http/client.h"
#include "http/message.h"
#include "observe/metrics.h"
#include "proxy/forward.h"
#include "proxy/in_flight_table.h"
#include "proxy/published_view.h"
#include "proxy/queue_host_counts.h"
#include "proxy/queue_host_health.h"
#include "proxy/recent_failures.h"
#include "proxy/slot_gate.h"
#include "settings/settings.h"

namespace toucandock::proxy {

// The parts of request handling that the daemon and the tests supply.
struct CallerHandlerHooks {
  std::function<core::TimePoint()> now;
  // Reports a failed attempt (refused connection, broken connection or timeout)
  // to loss detection.
  std::function<void(const core::TargetId&, core::detection::ObservationKind)>
      report_observation;
  // Records on the registry hosts that a non-idempotent request is about to be
  // sent.
  std::function<core::request::RecordResult(const core::request::AttemptKey&)>
      record_attempt;
  // Called when a recorded attempt has ended with a known outcome.
  std::function<void(const core::request::AttemptKey&,
                     core::request::FinishResult)>
      finish_attempt;
  // Returns whether the request matches one that has crashed targets.
  std::function<core::request::PoisonMatch(const core::request::PoisonKey&)>
      find_poison_match;
  // Called when the connection to the target at the address broke after at
  // least a part of the request was sent.
  std::function<void(const core::request::CrashReport&,
                     const std::string& address)>
      on_broken;
  // Called when the target returned a complete response.
  std::function<void(const core::request::PoisonKey&)> on_answer;
  // Blocks until the target has a slot for the request, or the request is shed
  // or cancelled.
  std::function<std::unique_ptr<SlotGate::Slot>(const SlotRequest&)>
      wait_for_slot;
  // Number of requests that wait or run in this host's queue for the target.
  std::function<std::uint32_t(const core::TargetId&)> queue_count;
  // Returns whether the id is that of this host.
  std::function<bool(const core::HostId&)> is_self;
  std::function<bool()> is_stopping;
  // Counts a request for a key; may be empty.
  std::function<void(const core::routing::ServiceRoute&, const std::string&)>
      count_key;
  std::function<std::string()> new_request_id;
};

// Serves the requests of callers: checks a request, chooses its target, sends
// it there, directly or through the target's queue host, and returns the
// complete response.
class CallerHandler {
 public:
  CallerHandler(const settings::Limits& limits,
                PublishedView& view,
                InFlightTable& in_flight,
                http::Client& client,
                observe::Metrics& metrics,
                CallerHandlerHooks hooks);

  // Blocks the calling thread until there is a response for the caller.
  http::Response Serve(const http::Request& request);
  // Sends a request of another entry host to a target whose queue host is this
  // host.
  http::Response ServeForward(const http::Request& request);

  // Returns the queue hosts that may be lost. The caller passes each one to
  // ProbeQueueHost(), which blocks.
  std::vector<core::control::HostInfo> QueueHostsToProbe();
  void ProbeQueueHost(const core::control::HostInfo& host,
                      std::chrono::milliseconds timeout);

 private:
  struct Job;

  http::Response ServeChecked(Job& job);
  static std::string FingerprintOf(const Job& job);
  bool Prepare(Job& job, http::Response& refusal) const;
  core::request::RouteResult Route(Job& job) const;
  bool IsStillOwner(const Job& job) const;
  bool IsTargetGone(const Job& job) const;
  bool PrepareForward(const ForwardMetadata& metadata, Job& job) const;
  bool MayRetry(const Job& job, const core::request::AttemptResult& result);
  core::request::AttemptResult Attempt(Job& job);
  core::request::AttemptResult SendThroughQueueHost(
      const core::control::HostInfo& queue_host,
      Job& job);
  core::request::AttemptResult SendWhenAdmitted(Job& job);
  core::request::AttemptResult Send(Job& job);
  http::Request TargetRequest(const Job& job) const;
  void ReportObservation(const Job& job,
                         const http::ExchangeResult& result) const;
  void ReportForCrashDetection(const Job& job,
                               const http::ExchangeResult& result) const;
  void FinishAttemptRecord(const Job& job,
                           const core::request::Decision& decision) const;
  http::Response Finish(const Job& job,
                        const core::request::Decision& decision) const;

  const settings::Limits limits_;
  PublishedView& view_;
  InFlightTable& in_flight_;
  http::Client& client_;
  observe::Metrics& metrics_;
  const CallerHandlerHooks hooks_;
  QueueHostHealth queue_hosts_;
  RecentFailures failing_targets_;
  QueueHostCounts queue_host_counts_;
  std::mutex budgets_mutex_;
  // Retry budgets by service name.
  std::map<std::string, core::admission::RetryBudget> budgets_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_CALLER_HANDLER_H_
