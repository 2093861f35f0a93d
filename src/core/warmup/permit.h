#ifndef TOUCANDOCK_CORE_WARMUP_PERMIT_H_
#define TOUCANDOCK_CORE_WARMUP_PERMIT_H_

#include <chrono>
#include <cstdint>

#include "core/discovery/target_directory.h"
#include "core/time.h"

namespace toucandock::core::warmup {

// A permit is valid for this long after its host asked for it. All requests
// that arrive within one second were then permitted within 1.2 s, with 0.1 s
// left for their transit.
inline constexpr Duration kPermitLifetime = std::chrono::milliseconds(100);
// Maximum number of permits that a host asks for at a time.
inline constexpr std::uint32_t kMaxPermitsWanted = 16;

// A host asks the leader for permits to send requests to a cold target.
struct PermitQuestion {
  // Differs between all questions of a host, also across its restarts.
  std::uint64_t id = 0;
  discovery::TargetInstance instance;
  std::uint32_t wanted = 0;

  bool operator==(const PermitQuestion&) const = default;
};

struct PermitAnswer {
  // Id of the question.
  std::uint64_t question = 0;
  // Number of permits that were issued.
  std::uint32_t issued = 0;
  // Time until another permit for the same target is expected to be available
  // to this host. Negative if more than one is available already.
  Duration next_due{};

  bool operator==(const PermitAnswer&) const = default;
};

}  // namespace toucandock::core::warmup

#endif  // TOUCANDOCK_CORE_WARMUP_PERMIT_H_
