#ifndef TOUCANDOCK_ENTRY_DISPATCHER_H_
#define TOUCANDOCK_ENTRY_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/balance/retry_window.h"
#include "core/balance/target_picker.h"
#include "core/error_kind.h"
#include "core/keyspace/key_samples.h"
#include "core/request/crash_detector.h"
#include "core/request/safe_contents.h"
#include "core/time.h"
#include "entry/entry_metrics.h"
#include "entry/poison_json.h"
#include "entry/routing_view.h"
#include "entry/target_handle.h"
#include "net/header_names.h"

namespace toucandock::entry {

struct DispatchOptions {
  // A request without a target waits for one at most this part of its latency
  // goal, and of the time that its caller still waits.
  double max_wait_of_goal = 0.6;
  double max_wait_of_time_left = 0.33;
  // Answers that targets make at the very deadline are still passed on.
  core::Duration timeout_margin = std::chrono::milliseconds(30);
  // Answers that nobody waits for any more may go on for this long after the
  // deadline, at which targets stop.
  core::Duration late_answer_limit = std::chrono::seconds(2);
  // Connections of requests that must not run twice; older ones may have been
  // closed by the target in the same moment.
  std::chrono::milliseconds max_idle_non_idempotent{1'500};
  std::chrono::milliseconds max_idle_idempotent{60'000};
  // Part of a target's connections that the hosts together may use.
  double connection_fraction = 0.8;
  core::Duration report_interval = std::chrono::milliseconds(250);
  // Times of answers change slowly; each so many reports bear them.
  int reports_per_speed_report = 8;
  core::Duration dispatch_interval = std::chrono::milliseconds(25);
  size_t max_waiting = 2'000;
  // Load reports name at most this many keys.
  size_t max_reported_keys = 2'000;
  // A target at which a request broke off is asked whether it still takes
  // connections after this time, if no other request has shown it. A process
  // that ends closes its connections a moment before its port.
  core::Duration probe_delay = std::chrono::milliseconds(200);
  // The same for a target that rejected a new connection. Those that have too
  // many are not to be pressed; most answer another request meanwhile.
  core::Duration rejected_probe_delay = std::chrono::milliseconds(700);
  // A target that does not even refuse a connection for this long is silent.
  core::Duration probe_limit = std::chrono::milliseconds(500);
  // Two fingerprints for each request of the last minutes; 16 bytes each.
  core::request::SafeContentOptions safe_contents{.max_entries = 4'096};
};

// What the caller gets: a target's answer, or a failure of this host.
struct CallerAnswer {
  // Null: `error` says what to answer.
  std::optional<net::HttpResponse> response;
  core::ErrorKind error = core::ErrorKind::kNone;
  core::Duration retry_after{};
};

using CallerAnswerHandler = std::function<void(CallerAnswer)>;

struct DispatchHooks {
  std::function<void(const core::keyspace::LoadReport&)> report_load;
  // Requests that were in flight when their target ended, and whole answers to
  // suspected ones.
  std::function<void(const PoisonUpdate&)> report_poison;
};

class Exchange;

// Takes the requests of callers to targets: chooses the target, sends, repeats
// where that is right, and says truthfully what came of it. Lives on the
// traffic thread.
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
  void SetRetryOptions(const core::balance::RetryWindowOptions& options);
  const RoutingView& view() const { return *view_; }

  // The handler runs once, perhaps within the call, unless the exchange is
  // cancelled.
  // `caller`: the address that the request came from.
  std::shared_ptr<Exchange> Start(net::HttpRequest request,
                                  const std::string& caller,
                                  core::TimePoint now,
                                  CallerAnswerHandler handler);
  // Requests from now on are refused, so that none is cut off by the end of
  // the process.
  void BeginRefusing() { refusing_ = true; }
  // The caller has left.
  void Cancel(const std::shared_ptr<Exchange>& exchange);

  // Answers what still runs: the process ends now.
  void FailAll();

  size_t running() const { return running_.size(); }
  EntryMetrics& metrics() { return metrics_; }

 private:
  friend class Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;
  using HandlePtr = std::shared_ptr<TargetHandle>;

  // What this host knew when it decided about a request.
  struct DecisionInputs {
    std::uint64_t config = 0;
    std::string owner;
    core::Offset owners_offset = 0;
    bool owner_serves = false;
    // The owner said that it does not hold the key.
    bool owner_denied = false;
    double owner_load = 0;
  };

  DecisionInputs InputsOf(const Exchange& exchange) const;
  bool TryDispatch(const ExchangePtr& exchange, core::TimePoint now);
  HandlePtr ChooseTarget(Exchange& exchange, core::TimePoint now);
  HandlePtr OwnerOf(Exchange& exchange, core::TimePoint now);
  bool HasConnectionRoom(const TargetHandle& handle) const;
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
  bool IsRefusedAsPoison(const Exchange& exchange) const;
  void FailAsPoison(const ExchangePtr& exchange);
  void DetectCrash(const Exchange& exchange,
                   const HandlePtr& handle,
                   const TargetAnswer& answer,
                   core::TimePoint now);
  void OnBroken(const Exchange& exchange,
                const HandlePtr& handle,
                core::Duration probe_delay,
                core::TimePoint now);
  void ProbeTarget(const HandlePtr& handle);
  void ReportCrashes(const std::vector<core::request::Crash>& crashes,
                     core::TimePoint now);
  void NoteCompleteAnswer(const Exchange& exchange,
                          const std::string& version,
                          core::TimePoint now);
  void ReportSafeSuspects(core::TimePoint now);
  void Enqueue(const ExchangePtr& exchange, core::TimePoint now);
  void StartDispatchTimer();
  void DispatchWaiting(const std::string& service);
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
  void RemoveFromQueue(const ExchangePtr& exchange);
  void SendReports();
  core::balance::RetryWindow& RetriesOf(const std::string& service);

  boost::asio::io_context& io_;
  EntryMetrics metrics_;
  const net::HeaderNames names_;
  const std::string failure_domain_;
  core::balance::RetryWindowOptions retry_options_;
  const DispatchOptions options_;
  const core::balance::PickOptions pick_options_;
  const core::balance::TargetLoadOptions load_options_;
  const DispatchHooks hooks_;
  std::shared_ptr<const RoutingView> view_;
  std::map<core::discovery::TargetInstance, HandlePtr> handles_;
  std::map<std::string, std::vector<HandlePtr>> handles_by_service_;
  std::map<std::string, std::list<ExchangePtr>> waiting_;
  std::map<std::string, core::routing::WeightedRotation> rotations_;
  std::map<std::string, core::balance::RetryWindow> retry_windows_;
  // Smoothed time of an answer by service.
  std::map<std::string, core::FloatSeconds> typical_times_;
  std::map<std::string, core::keyspace::LoadReport> reports_;
  const std::shared_ptr<AnswerMemory> answer_memory_ =
      std::make_shared<AnswerMemory>();
  core::request::CrashDetector crashes_;
  core::request::SafeContents safe_contents_;
  boost::asio::steady_timer report_timer_;
  boost::asio::steady_timer dispatch_timer_;
  std::minstd_rand random_;
  std::set<ExchangePtr> running_;
  bool is_dispatch_timer_running_ = false;
  int reports_sent_ = 0;
  bool refusing_ = false;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_DISPATCHER_H_
