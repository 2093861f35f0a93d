#ifndef TOUCANDOCK_ENTRY_DISPATCHER_H_
#define TOUCANDOCK_ENTRY_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/admission/return_times.h"
#include "core/balance/reported_load.h"
#include "core/balance/retry_window.h"
#include "core/discovery/evacuations.h"
#include "core/error_kind.h"
#include "core/keyspace/key_samples.h"
#include "core/request/safe_contents.h"
#include "core/time.h"
#include "entry/admission_control.h"
#include "entry/capacity_guard.h"
#include "entry/cold_targets.h"
#include "entry/crash_watch.h"
#include "entry/entry_metrics.h"
#include "entry/poison_json.h"
#include "entry/route_times.h"
#include "entry/routing_view.h"
#include "entry/target_handle.h"
#include "entry/target_notices.h"
#include "entry/target_set.h"
#include "entry/waiting_requests.h"
#include "net/header_names.h"

namespace toucandock::entry {

struct DispatchOptions {
  // A request that can no longer meet the latency goal of its route waits for
  // at most this fraction of the time that its caller still waits.
  double late_wait_fraction = 0.33;
  // Time after the deadline in which a response is still accepted, since
  // targets may respond right at the deadline.
  core::Duration timeout_margin = std::chrono::milliseconds(30);
  // Targets stop work at the deadline. A response that no caller waits for any
  // more is read for at most this long after it; then the connection is reset.
  core::Duration late_answer_limit = std::chrono::seconds(2);
  // A request that must not run twice uses only connections that were idle for
  // less than this: the target may be closing an older one at that very moment,
  // which leaves the outcome of the request unknown.
  std::chrono::milliseconds max_idle_non_idempotent{1'500};
  std::chrono::milliseconds max_idle_idempotent{60'000};
  // Fraction of a target's connections that all hosts together may use.
  double connection_fraction = 0.8;
  core::Duration report_interval = std::chrono::milliseconds(250);
  // Response times change slowly, so only one in this many load reports
  // contains them.
  int reports_per_speed_report = 8;
  core::Duration dispatch_interval = std::chrono::milliseconds(25);
  // Maximum number of waiting requests of a service.
  size_t max_waiting = 2'000;
  // Load reports name at most this many keys.
  size_t max_reported_keys = 2'000;
  // Delay between a connection that ended without a complete response and a
  // test connection that shows whether the target still runs. No test is made
  // if another request has shown that by then. The delay is needed because an
  // ending process closes its connections shortly before its port.
  core::Duration probe_delay = std::chrono::milliseconds(200);
  // The same delay after a target has rejected a new connection. It is longer
  // because such a target usually has too many connections already, and most
  // targets respond to another request in the meantime.
  core::Duration rejected_probe_delay = std::chrono::milliseconds(700);
  // A test connection that is neither accepted nor refused within this time is
  // abandoned without a result.
  core::Duration probe_limit = std::chrono::milliseconds(500);
  // A key whose owner declared that it leaves usually moves within this time.
  // Later requests for it are refused at once.
  core::Duration max_move_time = std::chrono::seconds(2);
  // Retry-After when all targets of a service leave, or the owner of a key does
  // and the key has not moved: the time in which others are usually listed.
  core::Duration retry_after_leaving = std::chrono::seconds(1);
  // Callers that are refused because of a pause are asked to return at
  // different times, up to this fraction of the remaining pause after its end.
  double return_spread_ratio = 0.25;
  core::Duration max_return_spread = std::chrono::milliseconds(500);
  core::discovery::EvacuationLimits evacuation;
  // Holds two fingerprints of 16 bytes for each request that completed without
  // a crash in the last minutes.
  core::request::SafeContentOptions safe_contents{.max_entries = 4'096};
};

// What the caller receives: the response of a target, or an error of this host.
struct CallerAnswer {
  // Without a response, `error` determines what is sent to the caller.
  std::optional<net::HttpResponse> response;
  core::ErrorKind error = core::ErrorKind::kNone;
  core::Duration retry_after{};
};

using CallerAnswerHandler = std::function<void(CallerAnswer)>;

struct DispatchHooks {
  std::function<void(const core::keyspace::LoadReport&)> report_load;
  // Reports requests that were in flight when their target ended, and suspected
  // requests that received a complete response.
  std::function<void(const PoisonUpdate&)> report_poison;
  // Asks the leader for permits to send requests to cold targets. The answers
  // are passed to Dispatcher::OnPermits().
  std::function<void(const std::vector<core::warmup::PermitQuestion>&)>
      ask_permits;
};

class Exchange;

// Sends the requests of callers to targets: chooses the target, retries where
// that is safe, and reports to the caller whether the request ran, did not run
// or may have run. Used on the traffic thread only.
class Dispatcher {
 public:
  Dispatcher(boost::asio::io_context& io,
             net::HeaderNames names,
             std::string failure_domain,
             const core::balance::RetryWindowOptions& retries,
             const DispatchOptions& options,
             DispatchHooks hooks);
  ~Dispatcher();

  void SetView(std::shared_ptr<const RoutingView> view);
  void SetAdmitted(const AdmittedView& admitted);
  // Brings the gauges up to date.
  void UpdateCapacityMetrics();
  void SetRetryOptions(const core::balance::RetryWindowOptions& options);
  const RoutingView& view() const { return *view_; }

  // Calls `handler` once, possibly before this function returns, unless the
  // exchange is cancelled. `caller` is the address that the request came from.
  std::shared_ptr<Exchange> Start(net::HttpRequest request,
                                  const std::string& caller,
                                  core::TimePoint now,
                                  CallerAnswerHandler handler);
  // Refuses all further requests, so that none is interrupted by the end of the
  // process.
  void BeginRefusing() { refusing_ = true; }
  void OnPermits(const std::vector<core::warmup::PermitAnswer>& answers) {
    cold_targets_.OnPermits(answers);
  }
  // Called when the caller has closed its connection.
  void Cancel(const std::shared_ptr<Exchange>& exchange);

  // Ends all requests in flight with an error, because the process ends now.
  void FailAll();

  size_t running() const { return running_.size(); }
  EntryMetrics& metrics() { return metrics_; }

 private:
  friend class Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;
  using HandlePtr = std::shared_ptr<TargetHandle>;

  // What this host knew when it refused or failed a request; for log lines.
  struct DecisionInputs {
    std::uint64_t config = 0;
    std::string owner;
    core::Offset owners_offset = 0;
    bool owner_serves = false;
    // The owner responded that it does not hold the key.
    bool owner_denied = false;
    double owner_load = 0;
  };

  void RunStep(const ExchangePtr& exchange, const std::function<void()>& step);
  void Begin(const ExchangePtr& exchange,
             const std::string& caller,
             core::TimePoint now);
  net::HttpRequest RequestFor(const Exchange& exchange,
                              const TargetHandle& handle,
                              core::TimePoint now) const;
  // Why no target can take a request in time, from what the targets declared.
  struct Unavailability {
    core::balance::AvailabilityState state;
    core::Duration retry_after{};
  };

  DecisionInputs InputsOf(const Exchange& exchange) const;
  bool TryDispatch(const ExchangePtr& exchange, core::TimePoint now);
  HandlePtr ChooseTarget(Exchange& exchange, core::TimePoint now);
  ColdTargetHooks MakeColdTargetHooks();
  HandlePtr Permitted(Exchange& exchange,
                      HandlePtr handle,
                      core::TimePoint now);
  HandlePtr ChooseCold(Exchange& exchange,
                       const std::vector<HandlePtr>& cold,
                       core::TimePoint now);
  void AwaitPermit(
      Exchange& exchange,
      const std::optional<core::discovery::TargetInstance>& target);
  bool MaySendNow(const TargetHandle& handle,
                  const std::optional<core::TimePoint>& send_by,
                  core::TimePoint now);
  void NoteUnreachable(const TargetHandle& handle, AttemptCause cause);
  std::optional<core::TimePoint> ColdAvailableAt(const Exchange& exchange,
                                                 const TargetHandle& handle,
                                                 core::TimePoint now) const;
  std::optional<core::TimePoint> ColdAvailableAt(const Exchange& exchange,
                                                 core::TimePoint now) const;
  std::optional<Unavailability> FindColdness(const Exchange& exchange,
                                             core::TimePoint now);
  std::optional<Unavailability> FindUnavailability(const Exchange& exchange,
                                                   core::TimePoint now);
  core::Duration ReturnSpread(core::Duration left);
  void RefuseAsUnavailable(const ExchangePtr& exchange,
                           const Unavailability& reason);
  void NoteRedirected(Exchange& exchange,
                      const std::string& target,
                      const core::balance::AvailabilityState& cause,
                      const char* action);
  // Nothing is sent on the connection if it is not established by `send_by`.
  std::shared_ptr<TargetConnection> Connect(
      const HandlePtr& handle,
      std::optional<core::TimePoint> send_by);
  void OnNotice(const HandlePtr& handle, const TargetNotice& notice);
  void OnTargetsListed(core::TimePoint now);
  static std::shared_ptr<TargetConnection> TakeIdleConnection(
      const Exchange& exchange,
      TargetHandle& handle,
      std::chrono::milliseconds max_idle);
  void SendTo(const ExchangePtr& exchange,
              const HandlePtr& handle,
              core::TimePoint now);
  void OnTargetAnswer(const ExchangePtr& exchange, TargetAnswer answer);
  void UpdateLoad(Exchange& exchange,
                  const TargetAnswer& answer,
                  core::TimePoint now);
  bool RefuseUnlessAdmitted(const ExchangePtr& exchange, core::TimePoint now);
  std::optional<core::balance::ReportedLoad> NoteReport(
      const Exchange& exchange,
      const TargetAnswer& answer,
      core::TimePoint now);
  std::optional<double> MaxRequestsOf(const TargetHandle& handle,
                                      core::TimePoint now);
  core::Duration SilenceLimitOf(const Exchange& exchange, core::TimePoint now);
  bool WasTargetBusy(const Exchange& exchange, core::TimePoint now);
  void ArmAttemptTimer(const ExchangePtr& exchange, core::TimePoint now);
  void NoteUnanswered(const Exchange& exchange, core::TimePoint now);
  void OnSilence(const ExchangePtr& exchange, core::TimePoint now);
  bool IsRefusedAsPoison(const Exchange& exchange) const;
  void FailAsPoison(const ExchangePtr& exchange);
  void OnCapacity(const TargetHandle& handle, core::TimePoint now);
  core::admission::LaneOutlook OutlookOf(const Exchange& exchange,
                                         core::TimePoint now) const;
  void SendOrWait(const ExchangePtr& exchange, core::TimePoint now);
  bool EndIfUnavailable(const ExchangePtr& exchange, core::TimePoint now);
  void RefuseWaiting(const ExchangePtr& exchange,
                     const core::admission::RefusedWait& refused);
  void OnTimer(const ExchangePtr& exchange);
  void ArmTimer(const ExchangePtr& exchange, core::TimePoint until);
  void Refuse(const ExchangePtr& exchange,
              core::ErrorKind error,
              const char* cause,
              core::Duration retry_after);
  void Fail(const ExchangePtr& exchange,
            core::ErrorKind error,
            const char* cause);
  void Finish(const ExchangePtr& exchange, CallerAnswer answer);
  void ArmLateAnswerTimer(const ExchangePtr& exchange);
  void SendReports();
  core::balance::RetryWindow& RetriesOf(const std::string& service);

  boost::asio::io_context& io_;
  EntryMetrics metrics_;
  const net::HeaderNames names_;
  core::balance::RetryWindowOptions retry_options_;
  const DispatchOptions options_;
  const DispatchHooks hooks_;
  std::shared_ptr<const RoutingView> view_;
  std::map<std::string, core::routing::WeightedRotation> rotations_;
  std::map<std::string, core::balance::RetryWindow> retry_windows_;
  // Smoothed response time by service.
  std::map<std::string, core::FloatSeconds> typical_times_;
  std::map<std::string, RouteTimes> response_times_;
  std::map<std::string, core::keyspace::LoadReport> reports_;
  core::admission::ToldReturns told_returns_{{}};
  const std::shared_ptr<AnswerMemory> answer_memory_ =
      std::make_shared<AnswerMemory>();
  TargetNotices notices_;
  ColdTargets cold_targets_;
  CapacityGuard capacity_;
  TargetSet targets_;
  CrashWatch crash_watch_;
  WaitingRequests waiting_;
  boost::asio::steady_timer report_timer_;
  std::minstd_rand random_;
  std::set<ExchangePtr> running_;
  int reports_sent_ = 0;
  bool refusing_ = false;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_DISPATCHER_H_
