#include "proxy/slot_gate.h"

#include <utility>

namespace toucandock::proxy {

using core::admission::QueueChanges;
using core::admission::Ticket;
using core::admission::WorkResult;

SlotGate::Slot::Slot(SlotGate& gate, const SlotRequest& request)
    : gate_(gate), target_(request.target) {
  result_ = gate_.WaitFor(request, ticket_);
}

SlotGate::Slot::~Slot() {
  if (result_ == SlotResult::kAdmitted) {
    gate_.ReleaseSlot(target_, ticket_, work_result_);
  }
}

SlotGate::SlotGate(std::function<core::TimePoint()> now)
    : now_(std::move(now)) {}

// Blocks until the request gets a slot, is shed or is cancelled, but no longer
// than until its deadline.
std::unique_ptr<SlotGate::Slot> SlotGate::Wait(const SlotRequest& request) {
  return std::make_unique<Slot>(*this, request);
}

void SlotGate::WakeAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [target, gate] : gates_) {
    for (auto& [ticket, waiter] : gate.waiters) {
      waiter->must_check_cancelled = true;
      waiter->woken.notify_one();
    }
  }
}

std::uint32_t SlotGate::CountFor(const core::TargetId& target) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = gates_.find(target);
  return it == gates_.end()
             ? 0
             : static_cast<std::uint32_t>(it->second.queue.waiting() +
                                          it->second.queue.in_service());
}

SlotResult SlotGate::WaitFor(const SlotRequest& request, Ticket& ticket) {
  std::unique_lock<std::mutex> lock(mutex_);
  Gate& gate =
      gates_
          .try_emplace(request.target,
                       core::admission::QueueOptions{.slots = request.slots,
                                                     .queue = request.queue})
          .first->second;
  gate.queue.SetSlots(request.slots, request.queue);
  gate.queue.SetCold(request.cold);
  Waiter waiter;
  QueueChanges changes;
  ticket = gate.queue.Offer(request.work, now_(), changes);
  gate.waiters[ticket] = &waiter;
  Apply(gate, changes);
  while (!waiter.decided) {
    const bool in_time = waiter.woken.wait_until(
        lock, request.work.deadline,
        [&] { return waiter.decided || waiter.must_check_cancelled; });
    bool cancelled = false;
    if (!waiter.decided && waiter.must_check_cancelled) {
      waiter.must_check_cancelled = false;
      lock.unlock();
      cancelled = request.is_cancelled && request.is_cancelled();
      lock.lock();
    }
    if (!waiter.decided && (cancelled || !in_time)) {
      waiter.decided = true;
      waiter.result = cancelled ? SlotResult::kCancelled : SlotResult::kShed;
      QueueChanges after;
      gate.queue.Withdraw(ticket, now_(), after);
      Apply(gate, after);
    }
  }
  gate.waiters.erase(ticket);
  return waiter.result;
}

void SlotGate::ReleaseSlot(const core::TargetId& target,
                           Ticket ticket,
                           WorkResult result) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Gate& gate = gates_.at(target);
  QueueChanges changes;
  gate.queue.Finish(ticket, result, now_(), changes);
  Apply(gate, changes);
}

void SlotGate::Apply(Gate& gate, const QueueChanges& changes) {
  for (const Ticket ticket : changes.admitted) {
    Decide(gate, ticket, SlotResult::kAdmitted);
  }
  for (const core::admission::Shed& it : changes.shed) {
    Decide(gate, it.ticket, SlotResult::kShed);
  }
}

void SlotGate::Decide(Gate& gate, Ticket ticket, SlotResult result) {
  Waiter& waiter = *gate.waiters.at(ticket);
  waiter.decided = true;
  waiter.result = result;
  waiter.woken.notify_one();
}

}  // namespace toucandock::proxy
