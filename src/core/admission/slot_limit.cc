#include "core/admission/slot_limit.h"

#include <algorithm>

namespace toucandock::core::admission {
namespace {

constexpr std::uint32_t kColdDivisor = 2;
constexpr std::uint32_t kDecreaseDivisor = 2;

}  // namespace

SlotLimit::SlotLimit(const SlotLimitOptions& options, std::uint32_t slots)
    : options_(options), slots_(slots), limit_(slots) {}

void SlotLimit::SetSlots(std::uint32_t slots) {
  if (slots != slots_) {
    slots_ = slots;
    limit_ = slots;
  }
}

void SlotLimit::SetCold(bool cold) {
  cold_ = cold;
}

// Called when the target shed a request, which means that it cannot run as many
// requests at a time as it was given.
void SlotLimit::OnRefused(TimePoint now) {
  if (limit_ < Ceiling() && now - changed_at_ < options_.decrease_interval) {
    return;
  }
  limit_ = std::max(1U, std::min(limit_, Ceiling()) / kDecreaseDivisor);
  changed_at_ = now;
}

std::uint32_t SlotLimit::Get(TimePoint now) {
  while (limit_ < Ceiling() &&
         now - changed_at_ >= options_.increase_interval) {
    ++limit_;
    changed_at_ += options_.increase_interval;
  }
  return std::min(limit_, Ceiling());
}

std::uint32_t SlotLimit::Ceiling() const {
  return cold_ ? std::max(1U, slots_ / kColdDivisor) : slots_;
}

}  // namespace toucandock::core::admission
