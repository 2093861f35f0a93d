#include "entry/cold_targets.h"

#include <algorithm>
#include <random>
#include <utility>

#include "entry/contained_exception.h"
#include "entry/event_log.h"
#include "entry/health_request.h"

namespace toucandock::entry {
namespace {

using core::TimePoint;
using core::discovery::ListedTarget;
using core::discovery::TargetInstance;
using core::routing::RoutedService;
using core::warmup::PermitAnswer;
using std::chrono::milliseconds;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// A restarted host must not take answers to its predecessor for its own.
std::uint64_t RandomStart() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

std::int64_t ToMilliseconds(core::Duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}  // namespace

ColdTargets::ColdTargets(boost::asio::io_context& io,
                         const net::HeaderNames& names,
                         std::shared_ptr<AnswerMemory> memory,
                         EntryMetrics& metrics,
                         ColdTargetHooks hooks)
    : io_(io),
      names_(names),
      memory_(std::move(memory)),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      permits_(core::warmup::PoolOptions{}, RandomStart()),
      question_timer_(io) {}

const RoutedService* ColdTargets::LimitedService(
    const std::string& service) const {
  const RoutedService* found =
      routes_ ? routes_->FindService(service) : nullptr;
  return found != nullptr && found->cold_limit ? found : nullptr;
}

void ColdTargets::OnView(const RoutingView& view) {
  routes_ = view.routes;
  std::map<TargetInstance, std::uint64_t> sequences;
  for (const auto& [service, targets] : view.targets) {
    if (LimitedService(service) == nullptr) {
      continue;
    }
    for (const ListedTarget& it : targets) {
      sequences[it.entry.instance] = it.entry.sequence;
    }
  }
  returns_.OnListChanged([&](const TargetInstance& target) {
    const auto it = sequences.find(target);
    return it == sequences.end() ? std::nullopt : std::optional(it->second);
  });
  DropSettledReturns(Now());
}

std::optional<TimePoint> ColdTargets::ColdUntil(const ListedTarget& target,
                                                TimePoint now) const {
  const auto returned = returns_.ColdUntil(target.entry.instance, now);
  if ((now >= target.warm_at && !returned) ||
      LimitedService(target.entry.service) == nullptr) {
    return std::nullopt;
  }
  return std::max(target.warm_at, returned.value_or(target.warm_at));
}

std::optional<TimePoint> ColdTargets::TakePermit(const ListedTarget& target,
                                                 TimePoint now) {
  const auto send_by = permits_.Take(target.entry.instance, now);
  if (send_by) {
    metrics_.CountColdRequest(target.entry.service);
  }
  return send_by;
}

void ColdTargets::Await(const TargetInstance& target) {
  permits_.Await(target);
  ScheduleQuestions();
}

void ColdTargets::StopAwaiting(const TargetInstance& target) {
  permits_.StopAwaiting(target);
}

TimePoint ColdTargets::AvailableAt(const ListedTarget& target,
                                   TimePoint cold_until,
                                   std::uint32_t ahead,
                                   TimePoint now) const {
  const RoutedService* service = LimitedService(target.entry.service);
  return std::min(
      cold_until,
      permits_.DueAt(
          target.entry.instance, ahead,
          service == nullptr ? 0 : service->cold_limit->requests_per_second,
          now));
}

// Questions are sent from a timer, so that requests which arrive together are
// asked for together.
void ColdTargets::ScheduleQuestions() {
  const auto next = permits_.NextQuestionAt();
  if (!next) {
    return;
  }
  question_timer_.expires_at(*next);
  question_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      Contain("permits", [this] { AskForPermits(); });
    }
  });
}

void ColdTargets::AskForPermits() {
  const TimePoint now = Now();
  DropSettledReturns(now);
  const auto questions = permits_.Wanted(now);
  metrics_.SetPermits(permits_.counts());
  if (!questions.empty() && hooks_.ask) {
    hooks_.ask(questions);
  }
  ScheduleQuestions();
}

void ColdTargets::OnPermits(const std::vector<PermitAnswer>& answers) {
  const TimePoint now = Now();
  for (const PermitAnswer& it : answers) {
    if (const auto target = permits_.OnGranted(it, now)) {
      SendHealth(*target, now);
      hooks_.on_available(*target);
    }
  }
  metrics_.SetPermits(permits_.counts());
  ScheduleQuestions();
}

void ColdTargets::OnUnreachable(const core::discovery::TargetEntry& target) {
  if (LimitedService(target.service) != nullptr) {
    returns_.OnUnreachable(target.instance, target.sequence);
  }
}

void ColdTargets::OnAccepted(const TargetHandle& handle, TimePoint now) {
  const core::discovery::TargetEntry& target = handle.target.entry;
  const RoutedService* service = LimitedService(target.service);
  if (service == nullptr ||
      !returns_.OnAccepted(target.instance, service->cold_limit->warm_up,
                           now)) {
    return;
  }
  LogEvent("target_returned",
           {{"target", target.instance.id},
            {"born", target.instance.start_time_ms},
            {"service", target.service},
            {"cold_ms", ToMilliseconds(service->cold_limit->warm_up)}});
  if (service->health_path.empty()) {
    return;
  }
  const bool is_new =
      pending_health_
          .insert_or_assign(target.instance,
                            PendingHealth{.endpoint = handle.endpoint,
                                          .path = service->health_path})
          .second;
  if (is_new) {
    Await(target.instance);
  }
}

// Sends the health request that waits for a permit, which counts as one of the
// requests that a cold target can bear.
void ColdTargets::SendHealth(const TargetInstance& target, TimePoint now) {
  const auto it = pending_health_.find(target);
  const auto send_by =
      it == pending_health_.end() ? std::nullopt : permits_.Take(target, now);
  if (!send_by) {
    return;
  }
  permits_.StopAwaiting(target);
  const PendingHealth pending = std::move(it->second);
  pending_health_.erase(it);
  SendHealthRequest(
      io_,
      {.target = pending.endpoint,
       .target_id = target.id,
       .path = pending.path,
       .send_by = *send_by},
      names_, memory_, [this, target](std::optional<core::Duration> left) {
        LogEvent("target_health",
                 {{"target", target.id},
                  {"born", target.start_time_ms},
                  {"is_usable", left.has_value()},
                  {"cold_ms", left ? ToMilliseconds(*left) : -1}});
        metrics_.CountHealthRequest(left.has_value());
        if (left) {
          returns_.OnReported(target, *left, Now());
          hooks_.on_available(target);
        }
      });
}

// Drops health requests whose targets have become warm or have another entry.
void ColdTargets::DropSettledReturns(TimePoint now) {
  std::erase_if(pending_health_, [&](const auto& it) {
    const bool is_settled = !returns_.ColdUntil(it.first, now);
    if (is_settled) {
      permits_.StopAwaiting(it.first);
    }
    return is_settled;
  });
}

}  // namespace toucandock::entry
