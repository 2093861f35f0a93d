#ifndef TOUCANDOCK_CORE_ADMISSION_TARGET_QUEUE_H_
#define TOUCANDOCK_CORE_ADMISSION_TARGET_QUEUE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/admission/service_times.h"
#include "core/admission/slot_limit.h"
#include "core/config/config.h"
#include "core/time.h"

namespace toucandock::core::admission {

// Identifies a request in one queue; never reused.
using Ticket = std::uint64_t;

// What the queue knows of a request.
struct Work {
  std::string request_class;
  // Tenant or caller that shares the target with others.
  std::string caller;
  config::WorkLength length = config::WorkLength::kShort;
  TimePoint deadline;
};

struct QueueOptions {
  // Requests that the target runs at a time.
  std::uint32_t slots = 4;
  // Requests that may wait, for short and for long work each.
  std::uint32_t queue = 64;
  // Slots that long work may not use; zero: half, rounded up.
  std::uint32_t short_slots = 0;
  SlotLimitOptions limit;
};

enum class WorkResult {
  kRan,
  // The target said that it did not run the request, for lack of room.
  kRefused,
  // Any other end, which says nothing about service times.
  kFailed,
};

struct Shed {
  Ticket ticket = 0;
  // After this time a place is likely to be free.
  Duration retry_after{};
};

// What an event changed for requests in the queue.
struct QueueChanges {
  // May be sent now.
  std::vector<Ticket> admitted;
  // Will not be sent.
  std::vector<Shed> shed;
};

// The queue before one target. Short work goes first and has slots that long
// work may not use; within either, the earliest deadline goes first among the
// callers that have had no more than their share. Work that cannot end before
// its deadline is shed, at its arrival if that is foreseen.
class TargetQueue {
 public:
  explicit TargetQueue(const QueueOptions& options);

  Ticket Offer(const Work& work, TimePoint now, QueueChanges& changes);
  void Withdraw(Ticket ticket, TimePoint now, QueueChanges& changes);
  void Finish(Ticket ticket,
              WorkResult result,
              TimePoint now,
              QueueChanges& changes);
  void SetSlots(std::uint32_t slots, std::uint32_t queue);
  void SetCold(bool cold);

  size_t waiting() const { return short_.size + long_.size; }
  size_t in_service() const { return running_.size(); }

 private:
  struct RunningWork {
    Work work;
    TimePoint started;
  };
  // Waiting requests of one length, by caller and deadline.
  struct Lane {
    std::map<std::string, std::set<std::pair<TimePoint, Ticket>>> callers;
    size_t size = 0;
  };

  Lane& LaneOf(const Work& work);
  void Insert(Ticket ticket, const Work& work);
  void Remove(Ticket ticket);
  void ShedExcess(Lane& lane, TimePoint now, QueueChanges& changes);
  void Dispatch(TimePoint now, QueueChanges& changes);
  Ticket NextTicket(const Lane& lane);
  void Start(Ticket ticket, TimePoint now);
  double ServiceTimeUsed(const std::string& caller) const;
  Duration ExpectedWait(const Work& work, TimePoint now);
  std::uint32_t LongLimit(TimePoint now);

  QueueOptions options_;
  SlotLimit limit_;
  ServiceTimes times_;
  Ticket last_ticket_ = 0;
  std::map<Ticket, Work> waiting_;
  std::map<Ticket, RunningWork> running_;
  Lane short_;
  Lane long_;
  std::uint32_t long_running_ = 0;
  // Short requests that were started while long work waited for a first slot.
  std::uint32_t short_started_before_long_ = 0;
  // Seconds of service that each caller has had, and the least among those
  // that waited at the last start (start-time fair queueing).
  std::map<std::string, double> service_time_used_;
  double virtual_time_ = 0;
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_TARGET_QUEUE_H_
