#include "entry/target_notices.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "absl/strings/ascii.h"
#include "core/balance/retry_after.h"
#include "entry/event_log.h"

namespace toucandock::entry {
namespace {

using core::Duration;
using core::TimePoint;
using core::balance::Availability;
using std::chrono::milliseconds;

// Length of a value in a log line; a head may have values of 16 KB.
constexpr size_t kMaxLoggedBytes = 64;
constexpr size_t kMaxLoggedReasons = 256;

std::int64_t MillisecondsUntil(TimePoint time, TimePoint now) {
  return std::chrono::ceil<milliseconds>(time - now).count();
}

}  // namespace

TargetNotices::TargetNotices(boost::asio::io_context& io, EntryMetrics& metrics)
    : metrics_(metrics),
      targets_(core::balance::AvailabilityOptions{}),
      pause_timer_(io),
      random_(std::random_device{}()) {}

void TargetNotices::Apply(const core::discovery::TargetEntry& target,
                          const TargetNotice& notice,
                          TimePoint now) {
  ApplyLeaving(target, notice, now);
  ApplyPause(target, notice, now);
}

void TargetNotices::ReportUnusual(const core::discovery::TargetEntry& target,
                                  const TargetNotice& notice,
                                  const char* reason,
                                  const std::string& value) {
  metrics_.CountTargetNotice(target.service, reason);
  if (logged_.size() >= kMaxLoggedReasons) {
    logged_.clear();
  }
  if (!logged_.emplace(target.instance, reason).second) {
    return;
  }
  LogEvent("target_notice_unusual",
           {{"target", target.instance.id},
            {"born", target.instance.start_time_ms},
            {"service", target.service},
            {"answer_to", notice.request_id},
            {"status", notice.status},
            {"reason", reason},
            {"value", value.substr(0, kMaxLoggedBytes)}});
}

void TargetNotices::ApplyLeaving(const core::discovery::TargetEntry& target,
                                 const TargetNotice& notice,
                                 TimePoint now) {
  if (notice.leaving.empty()) {
    return;
  }
  const bool is_leaving = std::any_of(
      notice.leaving.begin(), notice.leaving.end(), [](const std::string& it) {
        return absl::StripAsciiWhitespace(it) == "1";
      });
  if (!is_leaving) {
    ReportUnusual(target, notice, "bad-leaving", notice.leaving.front());
    return;
  }
  if (!targets_.OnLeaving(target.instance, now)) {
    return;
  }
  metrics_.CountTargetNotice(target.service, "leaving");
  LogEvent("target_leaving", {{"target", target.instance.id},
                              {"born", target.instance.start_time_ms},
                              {"service", target.service},
                              {"answer_to", notice.request_id},
                              {"status", notice.status}});
}

void TargetNotices::ApplyPause(const core::discovery::TargetEntry& target,
                               const TargetNotice& notice,
                               TimePoint now) {
  // A date is relative to the target's clock if the response states it, since
  // clocks of hosts may be wrong by seconds.
  const auto sent_at = core::balance::ParseHttpDate(notice.date)
                           .value_or(std::chrono::system_clock::now());
  // The longest of several values holds.
  std::optional<Duration> pause;
  for (const std::string& it : notice.retry_after) {
    const auto value = core::balance::ParseRetryAfter(it, sent_at);
    if (!value) {
      ReportUnusual(target, notice, "bad-pause", it);
      continue;
    }
    pause = std::max(pause.value_or(Duration{}), *value);
  }
  if (!pause) {
    return;
  }
  const double spread = std::uniform_real_distribution<double>(0, 1)(random_);
  const auto result = targets_.OnPause(target.instance, *pause, spread, now);
  if (result.is_limited) {
    ReportUnusual(target, notice, "limited-pause", notice.retry_after.front());
  }
  if (!result.is_later) {
    return;
  }
  metrics_.CountTargetNotice(target.service, "pause");
  LogEvent("target_paused",
           {{"target", target.instance.id},
            {"born", target.instance.start_time_ms},
            {"service", target.service},
            {"answer_to", notice.request_id},
            {"until_ms", MillisecondsUntil(result.until, now)}});
  ArmPauseTimer();
}

// Reports the ends of pauses.
void TargetNotices::ArmPauseTimer() {
  const auto next = targets_.NextPauseEnd();
  if (!next) {
    return;
  }
  pause_timer_.expires_at(*next);
  pause_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    for (const core::discovery::TargetInstance& it :
         targets_.TakeEndedPauses(std::chrono::steady_clock::now())) {
      metrics_.CountEndedPause();
      LogEvent("target_pause_ended",
               {{"target", it.id}, {"born", it.start_time_ms}});
    }
    ArmPauseTimer();
  });
}

bool TargetNotices::IsUnavailable(const core::discovery::TargetInstance& target,
                                  TimePoint now) const {
  const Availability it = targets_.StateOf(target, now).availability;
  return it == Availability::kLeaving || it == Availability::kPaused;
}

bool TargetNotices::IsLeaving(
    const core::discovery::TargetInstance& target) const {
  return targets_.StateOf(target, TimePoint{}).availability ==
         Availability::kLeaving;
}

}  // namespace toucandock::entry
