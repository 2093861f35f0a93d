#ifndef TOUCANDOCK_PROXY_SLOT_GATE_H_
#define TOUCANDOCK_PROXY_SLOT_GATE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "core/admission/target_queue.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::proxy {

// A request that needs a slot of a target.
struct SlotRequest {
  core::TargetId target;
  // Current limits of the target: requests in service at a time, and waiting
  // requests.
  std::uint32_t slots = 4;
  std::uint32_t queue = 64;
  // A cold target gets half of its slots.
  bool cold = false;
  core::admission::Work work;
  // Optional; called after SlotGate::WakeAll(). Returning true ends the wait.
  std::function<bool()> is_cancelled;
};

enum class SlotResult {
  kAdmitted,
  kShed,
  kCancelled,
};

// Makes traffic threads wait until their target has a slot for them.
class SlotGate {
 public:
  // The place of one request in the queue and in service. The constructor
  // waits; the destructor releases the slot.
  class Slot {
   public:
    Slot(SlotGate& gate, const SlotRequest& request);
    ~Slot();

    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

    SlotResult result() const { return result_; }
    // Sets how the request ended. Without this call, the request counts as
    // failed.
    void SetWorkResult(core::admission::WorkResult result) {
      work_result_ = result;
    }

   private:
    SlotGate& gate_;
    const core::TargetId target_;
    core::admission::Ticket ticket_ = 0;
    SlotResult result_ = SlotResult::kShed;
    core::admission::WorkResult work_result_ =
        core::admission::WorkResult::kFailed;
  };

  explicit SlotGate(std::function<core::TimePoint()> now);

  std::unique_ptr<Slot> Wait(const SlotRequest& request);
  // Makes all waiting requests call is_cancelled.
  void WakeAll();
  // Number of requests that wait for the target or are in service there.
  std::uint32_t CountFor(const core::TargetId& target) const;

 private:
  struct Waiter {
    std::condition_variable woken;
    bool decided = false;
    bool must_check_cancelled = false;
    SlotResult result = SlotResult::kShed;
  };
  struct Gate {
    explicit Gate(const core::admission::QueueOptions& options)
        : queue(options) {}

    core::admission::TargetQueue queue;
    std::map<core::admission::Ticket, Waiter*> waiters;
  };

  SlotResult WaitFor(const SlotRequest& request,
                     core::admission::Ticket& ticket);
  void ReleaseSlot(const core::TargetId& target,
                   core::admission::Ticket ticket,
                   core::admission::WorkResult result);
  static void Apply(Gate& gate, const core::admission::QueueChanges& changes);
  static void Decide(Gate& gate,
                     core::admission::Ticket ticket,
                     SlotResult result);

  const std::function<core::TimePoint()> now_;
  mutable std::mutex mutex_;
  // Entries are never removed; the size is limited by the number of targets
  // that were ever configured.
  std::map<core::TargetId, Gate> gates_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_SLOT_GATE_H_
