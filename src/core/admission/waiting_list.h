#ifndef TOUCANDOCK_CORE_ADMISSION_WAITING_LIST_H_
#define TOUCANDOCK_CORE_ADMISSION_WAITING_LIST_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "core/admission/freed_capacity.h"
#include "core/admission/ranked_requests.h"
#include "core/admission/return_times.h"
#include "core/admission/ticket.h"
#include "core/time.h"

namespace toucandock::core::admission {

struct WaitingListOptions {
  size_t max_requests = 2'000;
  // A request that can no longer meet its goal waits for at most this part of
  // the time left, so that its caller can still try again elsewhere.
  double late_wait_fraction = 0.33;
  // Callers honour a Retry-After of up to a third of the time they have left.
  double retry_after_fraction = 0.33;
  Duration min_retry_after = std::chrono::milliseconds(50);
};

struct WaitingRequest {
  // Address that the request came from.
  std::string caller;
  // Requests of one lane wait for the same capacity.
  std::string lane;
  // Of the route; 0 is the most urgent.
  int priority = 0;
  // What is known of an earlier attempt.
  ReturnedRequest returned;
  // This host has sent the request, and it may have run. Its caller could not
  // be told that it has not, so it waits even if it is likely to be late.
  bool may_have_run = false;
  // By when the response meets the latency goal, and by when the caller needs
  // it.
  TimePoint goal_by{};
  TimePoint answer_by{};
};

// What is known about the capacity of a lane apart from what the list has seen.
struct LaneOutlook {
  // Mean time from sending a request to its response, with the queue at the
  // target.
  Duration answer_time{};
  // Time until the first request can be sent.
  Duration first_free{};
  // Time between two requests that is assumed until it has been seen.
  Duration interval{};
};

enum class WaitRefusal {
  // The response could not come in time.
  kTooLate,
  kListFull,
  // A more urgent request, or one of a caller with fewer requests, took the
  // place.
  kDisplaced,
  // The prediction was wrong: the request has waited as long as it may.
  kWaitedTooLong,
};

absl::string_view ToString(WaitRefusal refusal);

// A request that is not, or no longer, in the list.
struct RefusedWait {
  WaitRefusal reason = WaitRefusal::kTooLate;
  // When the caller is to come back.
  ReturnSchedule::Slot comeback;
};

struct DisplacedWait {
  Ticket ticket = 0;
  WaitRank rank;
  RefusedWait refused;
};

struct WaitOffer {
  // Zero if the request is refused.
  Ticket ticket = 0;
  // Set if the request is refused.
  RefusedWait refused;
  // Requests that made place and are no longer in the list.
  std::vector<DisplacedWait> displaced;
};

// A request that left the list to be sent.
struct EndedWait {
  WaitRank rank;
  Duration predicted{};
  Duration actual{};
};

// The waiting requests of one service. A request waits only if its response can
// come in time, by a prediction. Operations take O(log n) time.
class WaitingList {
 public:
  explicit WaitingList(const WaitingListOptions& options) : options_(options) {}

  // Adds a request, or refuses it. A new one that can no longer meet its goal
  // waits only while none is waiting that can.
  WaitOffer Offer(const WaitingRequest& request,
                  const LaneOutlook& outlook,
                  TimePoint now);
  // The request was sent. Returns no value if it is not in the list.
  std::optional<EndedWait> OnSent(Ticket ticket, TimePoint now);
  void Remove(Ticket ticket);
  // Called at the time that WaitUntil() returned. Returns a value if the
  // request is refused and removed; otherwise it waits on, as a late one.
  std::optional<RefusedWait> OnTimeUp(Ticket ticket,
                                      const LaneOutlook& outlook,
                                      TimePoint now);
  // The request now waits for other capacity.
  void MoveTo(Ticket ticket, const std::string& lane, TimePoint now);
  // Removes requests from the end of the lane that can no longer be answered in
  // time.
  std::vector<DisplacedWait> Trim(const std::string& lane,
                                  const LaneOutlook& outlook,
                                  TimePoint now);

  size_t size() const { return entries_.size(); }
  size_t SizeOf(const std::string& lane) const;
  // Returns the n-th request of the lane, from 0, or zero if there is none.
  Ticket At(const std::string& lane, size_t n) const;
  // Lanes with waiting requests.
  std::vector<std::string> Lanes() const;
  const WaitRank& RankOf(Ticket ticket) const;
  const std::string& LaneOf(Ticket ticket) const;
  TimePoint WaitUntil(Ticket ticket) const;

 private:
  struct Lane {
    RankedRequests requests;
    FreedCapacity freed;
    ReturnSchedule returns;
  };
  struct Entry {
    WaitingRequest request;
    WaitRank rank;
    TimePoint since{};
    TimePoint until{};
    Duration predicted{};
  };

  Lane& LaneFor(const std::string& lane);
  bool MakePlace(const Lane& lane,
                 Entry& entry,
                 const LaneOutlook& outlook,
                 TimePoint now,
                 WaitOffer& offer);
  // Returns the victim that has to go so that a request of this rank and caller
  // can wait, or zero.
  static Ticket OverShare(const RankedRequests& requests,
                          const WaitRank& rank,
                          const std::string& caller);
  Duration Predict(const Lane& lane,
                   size_t ahead,
                   const LaneOutlook& outlook,
                   TimePoint now) const;
  bool IsInTime(const Entry& entry,
                Duration wait,
                const LaneOutlook& outlook,
                TimePoint now) const;
  TimePoint LateLimit(const WaitingRequest& request,
                      const LaneOutlook& outlook,
                      TimePoint now) const;
  void Insert(Lane& lane, const Entry& entry, TimePoint now);
  DisplacedWait Displace(Ticket ticket,
                         const LaneOutlook& outlook,
                         TimePoint now);
  RefusedWait Refusal(WaitRefusal reason,
                      Lane& lane,
                      const LaneOutlook& outlook,
                      const WaitingRequest& request,
                      TimePoint now) const;

  const WaitingListOptions options_;
  Ticket last_ticket_ = 0;
  absl::flat_hash_map<Ticket, Entry> entries_;
  RankedRequests all_;
  std::map<std::string, Lane> lanes_;
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_WAITING_LIST_H_
