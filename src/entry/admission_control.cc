#include "entry/admission_control.h"

#include <algorithm>
#include <utility>

#include "entry/event_log.h"

namespace toucandock::entry {
namespace {

using core::TimePoint;
using std::chrono::milliseconds;

constexpr milliseconds kUpdateInterval{250};
// A list passes a relay, and each of the two steps takes up to one interval of
// heartbeats (300 ms) in addition to the interval of updates.
constexpr milliseconds kListLifetime{1'000};

}  // namespace

AdmissionControl::AdmissionControl(PublishAdmitted publish)
    : publish_(std::move(publish)), list_(kListLifetime) {}

void AdmissionControl::OnLoad(const core::keyspace::LoadReport& report,
                              TimePoint now) {
  const auto planner = planners_.find(report.service);
  if (planner != planners_.end()) {
    planner->second.OnLoad(report, now);
  }
}

void AdmissionControl::OnTargets(
    const core::discovery::TargetDirectory& directory,
    const core::routing::RouteTable* routes) {
  if (routes == nullptr) {
    return;
  }
  std::map<std::string, std::vector<core::keyspace::ServingTarget>> targets;
  for (const core::routing::RoutedService& it : routes->config().services) {
    if (it.keyed) {
      targets[it.name] = {};
    }
  }
  for (const auto& [id, listed] : directory.targets()) {
    const auto service = targets.find(listed.entry.service);
    if (service == targets.end()) {
      continue;
    }
    const auto& cold_limit =
        routes->FindService(listed.entry.service)->cold_limit;
    service->second.push_back(
        {.instance = listed.entry.instance,
         .slots = listed.entry.slots,
         .cold_requests_per_second =
             cold_limit ? std::optional(cold_limit->requests_per_second)
                        : std::nullopt,
         .warm_at = listed.warm_at});
  }
  // The list has room for a number of ranges of all services together.
  core::keyspace::AdmissionOptions options;
  options.max_ranges /= std::max<size_t>(1, targets.size());
  std::erase_if(planners_,
                [&](const auto& it) { return !targets.contains(it.first); });
  for (auto& [service, listed] : targets) {
    planners_.try_emplace(service, options)
        .first->second.SetTargets(std::move(listed));
  }
}

void AdmissionControl::Tick(
    const std::vector<const core::keyspace::OwnershipTable*>& led,
    TimePoint now) {
  if (led.empty()) {
    if (std::exchange(computes_, false)) {
      for (auto& [service, planner] : planners_) {
        planner.Reset();
      }
    }
    if (is_limiting_ && !list_.IsValid(now)) {
      is_limiting_ = false;
      LogEvent("admission_list_expired", {{"version", list_.version()}});
    }
    return;
  }
  if (now < next_update_) {
    return;
  }
  next_update_ = now + kUpdateInterval;
  computes_ = true;
  core::keyspace::AdmittedLists lists;
  for (const core::keyspace::OwnershipTable* table : led) {
    const auto planner = planners_.find(table->service);
    if (planner != planners_.end()) {
      lists[table->service] = planner->second.Update(table->assignments, now);
    }
  }
  list_.SetComputed(std::move(lists), now);
  Publish(now);
}

void AdmissionControl::OnUpdate(const core::keyspace::AdmittedUpdate& update,
                                TimePoint received_at,
                                TimePoint now) {
  if (!computes_ && list_.OnUpdate(update, received_at)) {
    Publish(now);
  }
}

// Nothing is published while nothing is listed.
void AdmissionControl::Publish(TimePoint now) {
  const bool was_limiting =
      std::exchange(is_limiting_, !list_.lists().empty() && list_.IsValid(now));
  if (is_limiting_ != was_limiting) {
    size_t ranges = 0;
    for (const auto& [service, listed] : list_.lists()) {
      ranges += listed.size();
    }
    LogEvent(is_limiting_ ? "admission_limited" : "admission_unlimited",
             {{"is_leader", computes_},
              {"ranges", ranges},
              {"version", list_.version()}});
  }
  if (publish_ && (is_limiting_ || was_limiting)) {
    publish_(std::make_shared<const AdmittedView>(AdmittedView{
        .lists = list_.lists(),
        .valid_until =
            std::chrono::steady_clock::now() + (list_.valid_until() - now)}));
  }
}

}  // namespace toucandock::entry
