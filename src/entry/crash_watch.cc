#include "entry/crash_watch.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "entry/event_log.h"
#include "entry/exchange.h"

namespace toucandock::entry {
namespace {

namespace http = boost::beast::http;
using core::Duration;
using core::TimePoint;
using core::balance::Availability;
using core::request::AttemptEnd;
using std::chrono::milliseconds;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

CrashWatch::CrashWatch(boost::asio::io_context& io,
                       EntryMetrics& metrics,
                       TargetNotices& notices,
                       const CrashWatchOptions& options,
                       CrashWatchHooks hooks)
    : io_(io),
      metrics_(metrics),
      notices_(notices),
      options_(options),
      hooks_(std::move(hooks)),
      crashes_(core::request::CrashDetectorOptions{}),
      safe_contents_(options.safe_contents) {}

void CrashWatch::SetView(const RoutingView& view, TimePoint now) {
  ReportCrashes(crashes_.OnTargets(view.targets, now), now);
  if (view.poison->suspected != suspected_) {
    suspected_ = view.poison->suspected;
    ReportSafeSuspects(now);
  }
}

// Updates the crash detector with the result of an attempt, which shows whether
// the target still runs or whether a request may have ended it.
void CrashWatch::OnAttemptEnd(const Exchange& exchange,
                              const std::shared_ptr<TargetHandle>& handle,
                              const TargetAnswer& answer,
                              TimePoint now) {
  const core::discovery::TargetEntry& target = handle->target.entry;
  if (answer.cause == AttemptCause::kConnectionEnded) {
    OnBroken(exchange, handle,
             answer.rejected_connection ? options_.rejected_probe_delay
                                        : options_.probe_delay,
             now);
    return;
  }
  if (answer.cause == AttemptCause::kConnectRefused) {
    ReportCrashes(crashes_.OnConnectRefused(target.instance, now), now);
    return;
  }
  const bool is_alive = answer.end == AttemptEnd::kAnswered ||
                        answer.end == AttemptEnd::kFailedAnswer || answer.shed;
  if (is_alive) {
    crashes_.OnAlive(target.instance, exchange.sent_at);
  }
  if (answer.end == AttemptEnd::kAnswered &&
      http::to_status_class(answer.response.result()) ==
          http::status_class::successful) {
    NoteCompleteAnswer(exchange, target.version, now);
  }
}

// Handles a connection that ended without a complete response. Either the
// request has crashed the target, or only the connection has ended; a later
// probe shows which.
void CrashWatch::OnBroken(const Exchange& exchange,
                          const std::shared_ptr<TargetHandle>& handle,
                          Duration probe_delay,
                          TimePoint now) {
  // A target that leaves or is no longer listed was stopped as planned and did
  // not crash.
  const core::discovery::TargetInstance& instance =
      handle->target.entry.instance;
  if (!hooks_.is_listed(instance) || notices_.IsLeaving(instance)) {
    return;
  }
  crashes_.OnBroken({.target = handle->target.entry,
                     .caller_fingerprint = exchange.caller_fingerprint,
                     .content_fingerprint = exchange.content_fingerprint,
                     .request_id = exchange.request_id,
                     .at = now});
  // One probe is enough for all requests that this target had in flight.
  if (handle->is_probe_scheduled) {
    return;
  }
  handle->is_probe_scheduled = true;
  ScheduleProbe(handle, now + probe_delay);
}

// Probes the target at the given time, or after the pause that it asked for.
void CrashWatch::ScheduleProbe(const std::shared_ptr<TargetHandle>& handle,
                               TimePoint at) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, at);
  timer->async_wait([this, handle, timer](const boost::system::error_code&) {
    const core::discovery::TargetInstance& instance =
        handle->target.entry.instance;
    const TimePoint now = Now();
    const core::balance::AvailabilityState state =
        notices_.StateOf(instance, now);
    const bool is_needed = state.availability != Availability::kLeaving &&
                           crashes_.IsPending(instance, now);
    if (is_needed && state.availability == Availability::kPaused) {
      ScheduleProbe(handle, state.until);
      return;
    }
    handle->is_probe_scheduled = false;
    if (is_needed) {
      ProbeTarget(handle);
    }
  });
}

// Opens a test connection to find out whether a process still listens at the
// target's address.
void CrashWatch::ProbeTarget(const std::shared_ptr<TargetHandle>& handle) {
  metrics_.CountConnection(handle->target.entry.service);
  const TimePoint probe_start = Now();
  auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  auto socket = std::make_shared<net::Tcp::socket>(io_);
  socket->async_connect(
      handle->endpoint, [this, handle, timer, socket,
                         probe_start](const boost::system::error_code& ec) {
        timer->cancel();
        const TimePoint now = Now();
        const core::discovery::TargetInstance& instance =
            handle->target.entry.instance;
        if (!ec) {
          crashes_.OnAlive(instance, probe_start);
          hooks_.on_probed(*handle, true, now);
        } else if (ec == boost::asio::error::connection_refused) {
          hooks_.on_probed(*handle, false, now);
          ReportCrashes(crashes_.OnConnectRefused(instance, now), now);
        }
      });
  timer->expires_after(options_.probe_limit);
  timer->async_wait([socket](const boost::system::error_code& ec) {
    if (!ec) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
}

// Reports the requests that were in flight when targets ended to the control
// thread, except those whose content recently completed without a crash.
void CrashWatch::ReportCrashes(const std::vector<core::request::Crash>& crashes,
                               TimePoint now) {
  PoisonUpdate update;
  for (const core::request::Crash& it : crashes) {
    const core::discovery::TargetEntry& target = it.attempt.target;
    metrics_.CountTargetCrash(target.service,
                              core::request::ToString(it.evidence));
    bool is_safe = true;
    for (const std::string& fingerprint :
         {it.attempt.caller_fingerprint, it.attempt.content_fingerprint}) {
      if (safe_contents_.Contains(fingerprint, target.version, now)) {
        continue;
      }
      is_safe = false;
      update.crashes.push_back(
          {.key = {.fingerprint = fingerprint},
           .target = absl::StrCat(target.instance.id, "/",
                                  target.instance.start_time_ms),
           .crash_limit = kCrashLimit,
           .age = now - it.attempt.at,
           .target_version = {.service = target.service,
                              .version = target.version}});
    }
    LogEvent("target_crash",
             {{"target", target.instance.id},
              {"born", target.instance.start_time_ms},
              {"service", target.service},
              {"evidence", core::request::ToString(it.evidence)},
              {"request", it.attempt.request_id},
              {"content", it.attempt.content_fingerprint},
              {"age_ms",
               std::chrono::duration_cast<milliseconds>(now - it.attempt.at)
                   .count()},
              {"is_proven", is_safe}});
  }
  if (!update.empty()) {
    hooks_.report(update);
  }
}

void CrashWatch::NoteCompleteAnswer(const Exchange& exchange,
                                    const std::string& version,
                                    TimePoint now) {
  PoisonUpdate update;
  for (const std::string& it :
       {exchange.caller_fingerprint, exchange.content_fingerprint}) {
    safe_contents_.Add(it, version, now);
    if (suspected_.contains(it)) {
      update.safe_reports.push_back({.fingerprint = it, .version = version});
    }
  }
  if (!update.empty()) {
    hooks_.report(update);
  }
}

// Reports those suspected requests as safe that recently received a complete
// response through this host.
void CrashWatch::ReportSafeSuspects(TimePoint now) {
  PoisonUpdate update;
  for (const auto& [fingerprint, version] : suspected_) {
    if (safe_contents_.Contains(fingerprint, version, now)) {
      update.safe_reports.push_back(
          {.fingerprint = fingerprint, .version = version});
    }
  }
  if (!update.empty()) {
    hooks_.report(update);
  }
}

}  // namespace toucandock::entry
