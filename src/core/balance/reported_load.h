#ifndef TOUCANDOCK_CORE_BALANCE_REPORTED_LOAD_H_
#define TOUCANDOCK_CORE_BALANCE_REPORTED_LOAD_H_

#include <cstdint>
#include <optional>

#include "absl/strings/string_view.h"
#include "core/balance/target_load.h"

namespace toucandock::core::balance {

// The load that a target reports in a response, without the request that the
// response answers.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  // Empty if the report does not contain it.
  std::optional<int> slots;

  int Total() const { return running + waiting; }
};

// Parses numbers of running requests, of waiting requests and of slots,
// separated by commas. Further figures are ignored. Returns no value for text
// without two valid counts.
std::optional<ReportedLoad> ParseReportedLoad(absl::string_view text);

// Returns whether the target could have started another request at once.
// `listed_slots` is used if the report does not contain the slots.
bool HasFreeSlots(const ReportedLoad& load, std::uint32_t listed_slots);

// Returns the health shown by a refusal that ran nothing. `is_shed`: the status
// says that the target is overloaded.
AttemptHealth HealthOfRefusal(bool is_shed,
                              const std::optional<ReportedLoad>& load,
                              std::uint32_t listed_slots);

}  // namespace toucandock::core::balance

#endif  // TOUCANDOCK_CORE_BALANCE_REPORTED_LOAD_H_
