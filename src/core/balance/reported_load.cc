#include "core/balance/reported_load.h"

#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace toucandock::core::balance {
namespace {

// Larger counts are not plausible. The limit also keeps sums within the type.
constexpr int kMaxCount = 1'000'000;

std::optional<int> ParseCount(absl::string_view text) {
  int n = 0;
  if (!absl::SimpleAtoi(text, &n) || n < 0 || n > kMaxCount) {
    return std::nullopt;
  }
  return n;
}

}  // namespace

std::optional<ReportedLoad> ParseReportedLoad(absl::string_view text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ',');
  if (parts.size() < 2) {
    return std::nullopt;
  }
  const auto running = ParseCount(parts[0]);
  const auto waiting = ParseCount(parts[1]);
  if (!running || !waiting) {
    return std::nullopt;
  }
  return ReportedLoad{
      .running = *running,
      .waiting = *waiting,
      .slots = parts.size() > 2 ? ParseCount(parts[2]) : std::nullopt};
}

bool HasFreeSlots(const ReportedLoad& load, std::uint32_t listed_slots) {
  return load.Total() < load.slots.value_or(static_cast<int>(listed_slots));
}

AttemptHealth HealthOfRefusal(bool is_shed,
                              const std::optional<ReportedLoad>& load,
                              std::uint32_t listed_slots) {
  if (!is_shed) {
    return AttemptHealth::kFailed;
  }
  return load && HasFreeSlots(*load, listed_slots)
             ? AttemptHealth::kRefusedWithFreeSlots
             : AttemptHealth::kShed;
}

}  // namespace toucandock::core::balance
