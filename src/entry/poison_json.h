#ifndef TOUCANDOCK_ENTRY_POISON_JSON_H_
#define TOUCANDOCK_ENTRY_POISON_JSON_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/request/poison_registry.h"

namespace toucandock::entry {

// A request is refused after this number of targets has ended while running it.
// All hosts must use the same number, since each adds up the reports of all.
inline constexpr std::uint32_t kCrashLimit = 3;

// Reports a complete response to a suspected request.
struct SafeReport {
  std::string fingerprint;
  // Software version of the target that responded.
  std::string version;

  bool operator==(const SafeReport&) const = default;
};

// Reports that hosts exchange about requests that may crash targets.
struct PoisonUpdate {
  std::vector<core::request::CrashReport> crashes;
  std::vector<SafeReport> safe_reports;

  bool empty() const { return crashes.empty() && safe_reports.empty(); }
  bool operator==(const PoisonUpdate&) const = default;
};

// Maximum number of crashes, and of safe reports, in one message, which takes
// about 16 KB.
inline constexpr size_t kMaxUpdateReports = 128;

// Maximum number of crashes in a record of the store, which accepts 256 KB.
inline constexpr size_t kMaxStoredCrashes = 700;

// Whether a datagram holds a PoisonUpdate.
bool IsPoisonUpdate(const std::string& text);

std::string EncodePoisonUpdate(const PoisonUpdate& update);

absl::StatusOr<PoisonUpdate> DecodePoisonUpdate(const std::string& text);

using WallTime = std::chrono::system_clock::time_point;

// Encodes the crashes for the store. Their times are written as time of day,
// since a host that starts later has a different steady clock. Crashes at the
// end of the list that do not fit into a record are left out.
std::string EncodePoisonRecord(
    const std::vector<core::request::CrashReport>& crashes,
    WallTime now);

absl::StatusOr<std::vector<core::request::CrashReport>> DecodePoisonRecord(
    const std::string& text,
    WallTime now);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_POISON_JSON_H_
