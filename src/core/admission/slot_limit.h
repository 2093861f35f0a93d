#ifndef TOUCANDOCK_CORE_ADMISSION_SLOT_LIMIT_H_
#define TOUCANDOCK_CORE_ADMISSION_SLOT_LIMIT_H_

#include <cstdint>

#include "core/time.h"

namespace toucandock::core::admission {

struct SlotLimitOptions {
  // Time without a refusal after which one more slot is used.
  Duration increase_interval = std::chrono::milliseconds(500);
  // Refusals within this time after a decrease are part of the same overload
  // and do not decrease the limit again.
  Duration decrease_interval = std::chrono::milliseconds(100);
};

// Limits the number of requests that a target runs at a time. The limit is
// halved when the target sheds work and grows again by one slot at a time
// (additive increase, multiplicative decrease). A cold target gets half of its
// slots.
class SlotLimit {
 public:
  SlotLimit(const SlotLimitOptions& options, std::uint32_t slots);

  void SetSlots(std::uint32_t slots);
  void SetCold(bool cold);
  void OnRefused(TimePoint now);
  std::uint32_t Get(TimePoint now);

 private:
  std::uint32_t Ceiling() const;

  const SlotLimitOptions options_;
  std::uint32_t slots_;
  bool cold_ = false;
  std::uint32_t limit_;
  TimePoint changed_at_;
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_SLOT_LIMIT_H_
