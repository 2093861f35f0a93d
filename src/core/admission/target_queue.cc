#include "core/admission/target_queue.h"

#include <algorithm>

namespace toucandock::core::admission {
namespace {

using config::WorkLength;

// If no long work is running, waiting long work gets a slot after this many
// short requests, so that a burst of short work delays long work but does not
// starve it.
constexpr std::uint32_t kMaxShortBeforeLong = 16;
// Number of service times by which a caller may be ahead of the others before
// its requests wait for theirs. Within this lead, the order depends on
// deadlines only.
constexpr double kFairnessSlack = 4;
// The used service times of all callers are dropped when there are more callers
// than this.
constexpr size_t kMaxCallers = 1'024;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

TargetQueue::TargetQueue(const QueueOptions& options)
    : options_(options), limit_(options.limit, options.slots) {}

// Adds a request. Whether it is admitted or shed is reported in the changes of
// this call or a later one.
Ticket TargetQueue::Offer(const Work& work,
                          TimePoint now,
                          QueueChanges& changes) {
  const Ticket ticket = ++last_ticket_;
  Work added = work;
  added.length = times_.LengthOf(work.request_class, work.length);
  const Duration wait = ExpectedWait(added, now);
  if (now + wait + times_.UpperEstimate(added.request_class) > added.deadline) {
    changes.shed.push_back({ticket, wait});
    return ticket;
  }
  Insert(ticket, added);
  Dispatch(now, changes);
  ShedExcess(LaneOf(added), now, changes);
  return ticket;
}

// Removes a waiting request whose response is no longer needed. The request
// must not be running.
void TargetQueue::Withdraw(Ticket ticket,
                           TimePoint now,
                           QueueChanges& changes) {
  if (waiting_.contains(ticket)) {
    Remove(ticket);
    Dispatch(now, changes);
  }
}

// Releases the slot of an admitted request.
void TargetQueue::Finish(Ticket ticket,
                         WorkResult result,
                         TimePoint now,
                         QueueChanges& changes) {
  const auto it = running_.find(ticket);
  if (it == running_.end()) {
    return;
  }
  const Work& work = it->second.work;
  if (result == WorkResult::kRan) {
    times_.Add(work.request_class, now - it->second.started);
  } else if (result == WorkResult::kRefused) {
    limit_.OnRefused(now);
  }
  if (work.length == WorkLength::kLong) {
    --long_running_;
  }
  running_.erase(it);
  Dispatch(now, changes);
}

void TargetQueue::SetSlots(std::uint32_t slots, std::uint32_t queue) {
  options_.slots = slots;
  options_.queue = queue;
  limit_.SetSlots(slots);
}

void TargetQueue::SetCold(bool cold) {
  limit_.SetCold(cold);
}

TargetQueue::Lane& TargetQueue::LaneOf(const Work& work) {
  return work.length == WorkLength::kLong ? long_ : short_;
}

void TargetQueue::Insert(Ticket ticket, const Work& work) {
  Lane& lane = LaneOf(work);
  if (!lane.callers.contains(work.caller)) {
    // A caller that was idle starts with the same used time as the others, so
    // that it gains no advantage from having been idle.
    double& service_time = service_time_used_[work.caller];
    service_time = std::max(service_time, virtual_time_);
  }
  lane.callers[work.caller].emplace(work.deadline, ticket);
  ++lane.size;
  waiting_.emplace(ticket, work);
}

void TargetQueue::Remove(Ticket ticket) {
  const auto it = waiting_.find(ticket);
  Lane& lane = LaneOf(it->second);
  const auto caller = lane.callers.find(it->second.caller);
  caller->second.erase({it->second.deadline, ticket});
  if (caller->second.empty()) {
    lane.callers.erase(caller);
  }
  --lane.size;
  waiting_.erase(it);
}

// Sheds requests while the queue is too long: the one with the latest deadline
// of the caller that has the most requests waiting, so that one caller cannot
// fill the queue.
void TargetQueue::ShedExcess(Lane& lane, TimePoint now, QueueChanges& changes) {
  while (lane.size > options_.queue) {
    const auto longest =
        std::max_element(lane.callers.begin(), lane.callers.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.size() < b.second.size();
                         });
    const Ticket ticket = longest->second.rbegin()->second;
    const Work work = waiting_.at(ticket);
    Remove(ticket);
    changes.shed.push_back({ticket, ExpectedWait(work, now)});
  }
}

void TargetQueue::Dispatch(TimePoint now, QueueChanges& changes) {
  while (running_.size() < limit_.Get(now)) {
    const bool may_start_long =
        long_.size > 0 && long_running_ < LongLimit(now);
    if (short_.size == 0 && !may_start_long) {
      return;
    }
    const bool long_is_due =
        long_running_ == 0 && short_started_before_long_ >= kMaxShortBeforeLong;
    const bool starts_long =
        may_start_long && (short_.size == 0 || long_is_due);
    const Ticket ticket = NextTicket(starts_long ? long_ : short_);
    const Work& work = waiting_.at(ticket);
    if (now + times_.UpperEstimate(work.request_class) > work.deadline) {
      changes.shed.push_back({ticket, ExpectedWait(work, now)});
      Remove(ticket);
      continue;
    }
    const bool starts_before_long = may_start_long && !starts_long;
    short_started_before_long_ =
        starts_before_long ? short_started_before_long_ + 1 : 0;
    Start(ticket, now);
    changes.admitted.push_back(ticket);
  }
}

// Returns the request with the earliest deadline, considering only callers that
// are not too far ahead of the caller that has used the least service time.
Ticket TargetQueue::NextTicket(const Lane& lane) {
  double min_used = ServiceTimeUsed(lane.callers.begin()->first);
  for (const auto& [caller, requests] : lane.callers) {
    min_used = std::min(min_used, ServiceTimeUsed(caller));
  }
  virtual_time_ = std::max(virtual_time_, min_used);
  std::pair<TimePoint, Ticket> next = {TimePoint::max(), 0};
  for (const auto& [caller, requests] : lane.callers) {
    const std::pair<TimePoint, Ticket>& first = *requests.begin();
    const double slack =
        kFairnessSlack *
        Seconds(times_.Mean(waiting_.at(first.second).request_class));
    if (ServiceTimeUsed(caller) <= min_used + slack) {
      next = std::min(next, first);
    }
  }
  return next.second;
}

void TargetQueue::Start(Ticket ticket, TimePoint now) {
  const Work work = waiting_.at(ticket);
  const double service_time = ServiceTimeUsed(work.caller);
  Remove(ticket);
  if (work.length == WorkLength::kLong) {
    ++long_running_;
  }
  running_.emplace(ticket, RunningWork{work, now});
  service_time_used_[work.caller] =
      service_time + Seconds(times_.Mean(work.request_class));
  if (waiting_.empty() || service_time_used_.size() > kMaxCallers) {
    service_time_used_.clear();
    virtual_time_ = 0;
  }
}

double TargetQueue::ServiceTimeUsed(const std::string& caller) const {
  const auto it = service_time_used_.find(caller);
  return it == service_time_used_.end() ? virtual_time_ : it->second;
}

// Returns the expected time until a request with this deadline would be
// started.
Duration TargetQueue::ExpectedWait(const Work& work, TimePoint now) {
  const bool is_long = work.length == WorkLength::kLong;
  const std::uint32_t limit = limit_.Get(now);
  const std::uint32_t usable =
      is_long ? LongLimit(now) : limit - std::min(limit, long_running_);
  const std::uint32_t used =
      is_long ? long_running_
              : static_cast<std::uint32_t>(running_.size()) - long_running_;
  const Lane& lane = LaneOf(work);
  if (lane.size == 0 && used < usable && running_.size() < limit) {
    return {};
  }
  Duration ahead{};
  for (const auto& [caller, requests] : lane.callers) {
    for (const auto& [deadline, ticket] : requests) {
      if (deadline > work.deadline) {
        break;
      }
      ahead += times_.Mean(waiting_.at(ticket).request_class);
    }
  }
  for (const auto& [ticket, it] : running_) {
    if (it.work.length == work.length) {
      // On average, half of the service time remains.
      ahead += times_.Mean(it.work.request_class) / 2;
    }
  }
  return ahead / std::max(1U, usable);
}

std::uint32_t TargetQueue::LongLimit(TimePoint now) {
  const std::uint32_t limit = limit_.Get(now);
  const std::uint32_t reserved =
      options_.short_slots == 0 ? (limit + 1) / 2 : options_.short_slots;
  return limit > reserved ? limit - reserved : 1;
}

}  // namespace toucandock::core::admission
