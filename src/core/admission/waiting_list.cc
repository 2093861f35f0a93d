#include "core/admission/waiting_list.h"

#include <algorithm>

namespace toucandock::core::admission {
namespace {

// Lanes without requests are dropped when there are more than this.
constexpr size_t kMaxLanes = 1'024;
// Callers that come back go first. They are given every fourth place only,
// since otherwise all requests would miss their goals while the load is high.
constexpr int kPlacesPerReturn = 4;
// A caller with fewer requests than another one may displace this many of its
// requests. One is not enough: callers that ask often fill the lane whenever
// the prediction is low for a moment.
constexpr size_t kMaxDisplaced = 4;
// Part of the time left until the goal that is not planned for, since capacity
// is freed at irregular intervals. Without it, half of the requests that wait
// that long would be late.
constexpr double kGoalMargin = 0.1;

Duration Part(Duration whole, double fraction) {
  return std::chrono::duration_cast<Duration>(
      std::max(whole, Duration::zero()) * fraction);
}

// Precedence is for callers that were told a time at which there is capacity.
Return StandingOf(const ReturnedRequest& returned) {
  return returned.state == Return::kAsTold && !returned.is_reserved
             ? Return::kNew
             : returned.state;
}

}  // namespace

absl::string_view ToString(WaitRefusal refusal) {
  switch (refusal) {
    case WaitRefusal::kTooLate:
      return "too-late";
    case WaitRefusal::kListFull:
      return "list-full";
    case WaitRefusal::kDisplaced:
      return "displaced";
    case WaitRefusal::kWaitedTooLong:
      return "waited-too-long";
  }
  return "too-late";
}

WaitOffer WaitingList::Offer(const WaitingRequest& request,
                             const LaneOutlook& outlook,
                             TimePoint now) {
  WaitOffer offer;
  Lane& lane = LaneFor(request.lane);
  lane.freed.Assume(outlook.interval, now);
  Entry entry{.request = request,
              .rank = {.priority = request.priority,
                       .returned = StandingOf(request.returned),
                       .answer_by = request.answer_by,
                       .ticket = ++last_ticket_},
              .since = now};
  const auto refuse = [&](WaitRefusal reason) {
    offer.refused = Refusal(reason, lane, outlook, request, now);
    return offer;
  };
  entry.predicted =
      Predict(lane, lane.requests.CountBefore(entry.rank), outlook, now);
  if (!IsInTime(entry, entry.predicted, outlook, now) &&
      !MakePlace(lane, entry, outlook, now, offer)) {
    entry.rank.is_late = true;
    entry.predicted =
        Predict(lane, lane.requests.CountBefore(entry.rank), outlook, now);
    const bool may_be_late =
        lane.requests.on_time() == 0 || request.returned.state != Return::kNew;
    if (!request.may_have_run &&
        (!may_be_late || !IsInTime(entry, entry.predicted, outlook, now))) {
      return refuse(WaitRefusal::kTooLate);
    }
  }
  if (size() >= options_.max_requests) {
    const WaitRank last = all_.At(all_.size() - 1);
    const Ticket victim = IsMoreUrgent(entry.rank, last)
                              ? last.ticket
                              : OverShare(all_, entry.rank, request.caller);
    if (victim == 0) {
      return refuse(WaitRefusal::kListFull);
    }
    offer.displaced.push_back(Displace(victim, outlook, now));
  }
  entry.until = entry.rank.is_late ? LateLimit(request, outlook, now)
                                   : request.goal_by - outlook.answer_time;
  Insert(lane, entry, now);
  offer.ticket = entry.rank.ticket;
  // The request delays those behind it. If the last one is less urgent and can
  // no longer be in time, it learns so now.
  const WaitRank last = lane.requests.At(lane.requests.size() - 1);
  if (IsMoreUrgent(entry.rank, last)) {
    const Duration wait = Predict(lane, lane.requests.size() - 1, outlook, now);
    if (!entries_.at(last.ticket).request.may_have_run &&
        !IsInTime(entries_.at(last.ticket), wait, outlook, now)) {
      offer.displaced.push_back(Displace(last.ticket, outlook, now));
    }
  }
  return offer;
}

std::optional<EndedWait> WaitingList::OnSent(Ticket ticket, TimePoint now) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end()) {
    return std::nullopt;
  }
  const EndedWait ended{.rank = it->second.rank,
                        .predicted = it->second.predicted,
                        .actual = now - it->second.since};
  LaneFor(it->second.request.lane).freed.OnFreed(now);
  Remove(ticket);
  return ended;
}

void WaitingList::Remove(Ticket ticket) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end()) {
    return;
  }
  const Entry& entry = it->second;
  Lane& lane = LaneFor(entry.request.lane);
  lane.requests.Erase(entry.rank, entry.request.caller);
  if (lane.requests.size() == 0) {
    lane.freed.OnNoneWaiting();
  }
  all_.Erase(entry.rank, entry.request.caller);
  entries_.erase(it);
}

std::optional<RefusedWait> WaitingList::OnTimeUp(Ticket ticket,
                                                 const LaneOutlook& outlook,
                                                 TimePoint now) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end()) {
    return std::nullopt;
  }
  Entry entry = it->second;
  Remove(ticket);
  Lane& lane = LaneFor(entry.request.lane);
  if (!entry.rank.is_late && (lane.requests.on_time() == 0 ||
                              entry.request.returned.state != Return::kNew)) {
    entry.rank.is_late = true;
    const Duration wait =
        Predict(lane, lane.requests.CountBefore(entry.rank), outlook, now);
    if (IsInTime(entry, wait, outlook, now)) {
      entry.until = LateLimit(entry.request, outlook, now);
      Insert(lane, entry, now);
      return std::nullopt;
    }
  }
  return Refusal(WaitRefusal::kWaitedTooLong, lane, outlook, entry.request,
                 now);
}

void WaitingList::MoveTo(Ticket ticket,
                         const std::string& lane,
                         TimePoint now) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end() || it->second.request.lane == lane) {
    return;
  }
  Entry entry = it->second;
  Remove(ticket);
  entry.request.lane = lane;
  Insert(LaneFor(lane), entry, now);
}

std::vector<DisplacedWait> WaitingList::Trim(const std::string& lane,
                                             const LaneOutlook& outlook,
                                             TimePoint now) {
  std::vector<DisplacedWait> displaced;
  Lane& it = LaneFor(lane);
  it.freed.Assume(outlook.interval, now);
  // The first one is kept, since its prediction rests on `first_free` only.
  for (size_t n = it.requests.size(); n > 1; --n) {
    const Ticket last = it.requests.At(n - 1).ticket;
    if (entries_.at(last).request.may_have_run) {
      continue;
    }
    if (IsInTime(entries_.at(last), Predict(it, n - 1, outlook, now), outlook,
                 now)) {
      break;
    }
    displaced.push_back(Displace(last, outlook, now));
    displaced.back().refused.reason = WaitRefusal::kTooLate;
  }
  return displaced;
}

size_t WaitingList::SizeOf(const std::string& lane) const {
  const auto it = lanes_.find(lane);
  return it == lanes_.end() ? 0 : it->second.requests.size();
}

Ticket WaitingList::At(const std::string& lane, size_t n) const {
  const auto it = lanes_.find(lane);
  return it == lanes_.end() || n >= it->second.requests.size()
             ? 0
             : it->second.requests.At(n).ticket;
}

std::vector<std::string> WaitingList::Lanes() const {
  std::vector<std::string> names;
  for (const auto& [name, lane] : lanes_) {
    if (lane.requests.size() > 0) {
      names.push_back(name);
    }
  }
  return names;
}

const WaitRank& WaitingList::RankOf(Ticket ticket) const {
  return entries_.at(ticket).rank;
}

const std::string& WaitingList::LaneOf(Ticket ticket) const {
  return entries_.at(ticket).request.lane;
}

TimePoint WaitingList::WaitUntil(Ticket ticket) const {
  return entries_.at(ticket).until;
}

WaitingList::Lane& WaitingList::LaneFor(const std::string& lane) {
  const auto known = lanes_.find(lane);
  if (known != lanes_.end()) {
    return known->second;
  }
  if (lanes_.size() >= kMaxLanes) {
    std::erase_if(
        lanes_, [](const auto& it) { return it.second.requests.size() == 0; });
  }
  return lanes_[lane];
}

// Displaces requests of callers that have more of them in the lane, if the
// request can then meet its goal.
bool WaitingList::MakePlace(const Lane& lane,
                            Entry& entry,
                            const LaneOutlook& outlook,
                            TimePoint now,
                            WaitOffer& offer) {
  const size_t own = lane.requests.CountOf(entry.request.caller);
  const size_t before = lane.requests.CountBefore(entry.rank);
  for (size_t n = 1; n <= std::min(kMaxDisplaced, before); ++n) {
    if (lane.requests.LargestCount() < own + 1 + n) {
      return false;
    }
    entry.predicted = Predict(lane, before - n, outlook, now);
    if (!IsInTime(entry, entry.predicted, outlook, now)) {
      continue;
    }
    for (size_t left = n; left > 0; --left) {
      const Ticket victim =
          OverShare(lane.requests, entry.rank, entry.request.caller);
      if (victim != 0) {
        offer.displaced.push_back(Displace(victim, outlook, now));
      }
    }
    return !offer.displaced.empty();
  }
  return false;
}

Ticket WaitingList::OverShare(const RankedRequests& requests,
                              const WaitRank& rank,
                              const std::string& caller) {
  if (requests.LargestCount() <= requests.CountOf(caller) + 1) {
    return 0;
  }
  const WaitRank& last = requests.LastOfLargestCaller();
  return last.priority < rank.priority ? 0 : last.ticket;
}

// Returns the expected wait of a request with `ahead` others before it.
Duration WaitingList::Predict(const Lane& lane,
                              size_t ahead,
                              const LaneOutlook& outlook,
                              TimePoint now) const {
  return outlook.first_free +
         lane.freed.Interval(now) * static_cast<std::int64_t>(ahead);
}

bool WaitingList::IsInTime(const Entry& entry,
                           Duration wait,
                           const LaneOutlook& outlook,
                           TimePoint now) const {
  const TimePoint answered_at = now + wait + outlook.answer_time;
  if (!entry.rank.is_late) {
    return answered_at <= entry.request.goal_by -
                              Part(entry.request.goal_by - now, kGoalMargin);
  }
  return answered_at <= entry.request.answer_by &&
         now + wait <= LateLimit(entry.request, outlook, now);
}

// A caller that has come back as told may have no further attempt, so waiting
// costs it nothing.
TimePoint WaitingList::LateLimit(const WaitingRequest& request,
                                 const LaneOutlook& outlook,
                                 TimePoint now) const {
  if (request.returned.state == Return::kAsTold) {
    return request.answer_by - outlook.answer_time;
  }
  return now + Part(request.answer_by - now, options_.late_wait_fraction);
}

void WaitingList::Insert(Lane& lane, const Entry& entry, TimePoint now) {
  if (lane.requests.size() == 0) {
    lane.freed.OnFirstWaiting(now);
  }
  lane.requests.Insert(entry.rank, entry.request.caller);
  all_.Insert(entry.rank, entry.request.caller);
  entries_.emplace(entry.rank.ticket, entry);
}

DisplacedWait WaitingList::Displace(Ticket ticket,
                                    const LaneOutlook& outlook,
                                    TimePoint now) {
  const Entry entry = entries_.at(ticket);
  Remove(ticket);
  return {
      .ticket = ticket,
      .rank = entry.rank,
      .refused = Refusal(WaitRefusal::kDisplaced, LaneFor(entry.request.lane),
                         outlook, entry.request, now)};
}

// The caller is to come back when the requests that wait now, and the callers
// that were told to come back before it, have been served. One that has come
// too early keeps the time that it was told, so that it takes no further place.
RefusedWait WaitingList::Refusal(WaitRefusal reason,
                                 Lane& lane,
                                 const LaneOutlook& outlook,
                                 const WaitingRequest& request,
                                 TimePoint now) const {
  if (request.returned.told_at > now) {
    return {.reason = reason,
            .comeback = {.retry_after = request.returned.told_at - now,
                         .is_reserved = request.returned.is_reserved}};
  }
  const Duration limit =
      Part(request.answer_by - now, options_.retry_after_fraction);
  const Duration interval = lane.freed.Interval(now);
  const Duration earliest =
      std::max(outlook.first_free +
                   interval * static_cast<std::int64_t>(lane.requests.size()),
               std::min(options_.min_retry_after, limit));
  return {.reason = reason,
          .comeback = lane.returns.Next(earliest, interval * kPlacesPerReturn,
                                        limit, now)};
}

}  // namespace toucandock::core::admission
