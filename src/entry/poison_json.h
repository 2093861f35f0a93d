#ifndef TOUCANDOCK_ENTRY_POISON_JSON_H_
#define TOUCANDOCK_ENTRY_POISON_JSON_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/request/poison_registry.h"

namespace toucandock::entry {

// Targets that end under a request before it is refused. All hosts must use the
// same number, since each adds up the reports of all.
inline constexpr std::uint32_t kCrashLimit = 3;

// A whole answer to a suspected request.
struct SafeReport {
  std::string fingerprint;
  // Of the software of the target that answered.
  std::string version;

  bool operator==(const SafeReport&) const = default;
};

// What hosts tell each other of requests that may crash targets.
struct PoisonUpdate {
  std::vector<core::request::CrashReport> crashes;
  std::vector<SafeReport> safe_reports;

  bool empty() const { return crashes.empty() && safe_reports.empty(); }
  bool operator==(const PoisonUpdate&) const = default;
};

// Most crashes or proofs in one message; about 16 KB.
inline constexpr size_t kMaxUpdateReports = 128;

// Whether a datagram is such news.
bool IsPoisonUpdate(const std::string& text);

std::string EncodePoisonUpdate(const PoisonUpdate& update);

absl::StatusOr<PoisonUpdate> DecodePoisonUpdate(const std::string& text);

using WallTime = std::chrono::system_clock::time_point;

// The crashes as they are kept on the store, by the time of day, since a host
// that starts later has another steady clock. What does not fit into a record
// is left out from the end.
std::string EncodePoisonRecord(
    const std::vector<core::request::CrashReport>& crashes,
    WallTime now);

absl::StatusOr<std::vector<core::request::CrashReport>> DecodePoisonRecord(
    const std::string& text,
    WallTime now);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_POISON_JSON_H_
