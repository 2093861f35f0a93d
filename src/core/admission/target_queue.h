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
#include "core/admission/ticket.h"
#include "core/config/config.h"
#include "core/time.h"

namespace toucandock::core::admission {

// The properties of a request that the queue uses.
struct Work {
  std::string request_class;
  // Tenant or caller that shares the target with others.
  std::string caller;
  config::WorkLength length = config::WorkLength::kShort;
  TimePoint deadline;
};

struct QueueOptions {
  // Maximum number of requests that the target runs at a time.
  std::uint32_t slots = 4;
  // Maximum number of waiting requests; short and long work each have this
  // limit.
  std::uint32_t queue = 64;
  // Number of slots that long work may not use; zero reserves half of the
  // slots, rounded up.
  std::uint32_t short_slots = 0;
  SlotLimitOptions limit;
};

enum class WorkResult {
  kRan,
  // The target reported that it did not run the request because it is
  // overloaded.
  kRefused,
  // The request ended in another way, so its duration is no sample of a service
  // time.
  kFailed,
};

struct Shed {
  Ticket ticket = 0;
  // Time after which the queue is likely to have room again.
  Duration retry_after{};
};

// The requests in the queue that an event affected.
struct QueueChanges {
  // Requests that may be sent now.
  std::vector<Ticket> admitted;
  // Requests that will not be sent.
  std::vector<Shed> shed;
};

// The queue in front of one target. Short work is started first and has slots
// that long work may not use. Among short work and among long work, the
// earliest deadline goes first, considering only callers that have used no more
// than their share of the target. Work that cannot end before its deadline is
// shed, at its arrival if this can be predicted.
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
  // Short requests that were started in a row while long work was waiting for a
  // slot.
  std::uint32_t short_started_before_long_ = 0;
  // Service time in seconds that each caller has used, and the smallest value
  // among the callers that had waiting requests at the last start (start-time
  // fair queueing).
  std::map<std::string, double> service_time_used_;
  double virtual_time_ = 0;
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_TARGET_QUEUE_H_
