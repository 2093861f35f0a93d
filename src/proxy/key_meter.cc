#include "proxy/key_meter.h"

#include <utility>

namespace toucandock::proxy {
namespace {

// Length of the window over which rates are measured.
constexpr core::Duration kWindow = std::chrono::seconds(1);
// Size of the counter of each service.
constexpr size_t kSlots = 2'048;
// Number of keys reported for each service and window; limits the control
// traffic.
constexpr size_t kReportedKeys = 16;

}  // namespace

// `shards` must not be 0.
void KeyMeter::Count(const std::string& service,
                     std::uint32_t shards,
                     std::uint64_t key_hash) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto it = meters_.find(service);
  if (it == meters_.end() || it->second.shards != shards) {
    meters_.erase(service);
    it = meters_.emplace(service, Meter{shards, {kSlots, shards}}).first;
  }
  it->second.counter.Count(key_hash);
}

// Returns the rates of the last window, or an empty map while the window has
// not ended.
std::map<std::string, core::placement::ServiceRates> KeyMeter::TakeIfDue(
    core::TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, core::placement::ServiceRates> rates;
  if (now - taken_at_ < kWindow) {
    return rates;
  }
  taken_at_ = now;
  for (auto& [service, meter] : meters_) {
    core::placement::ServiceRates taken =
        meter.counter.Take(now, kReportedKeys);
    if (!taken.shards.empty()) {
      rates[service] = std::move(taken);
    }
  }
  return rates;
}

}  // namespace toucandock::proxy
