#include "core/control/load_table.h"

#include <algorithm>
#include <cmath>

namespace toucandock::core::control {
namespace {

constexpr Duration kReportTimeout = std::chrono::seconds(5);
// Keys below this rate are removed, which limits the memory.
constexpr double kMinRate = 0.05;

void Smooth(double& value, double sample, double weight) {
  value += weight * (sample - value);
}

}  // namespace

void LoadTable::Report(
    const HostId& host,
    const std::map<std::string, placement::ServiceRates>& rates,
    TimePoint now) {
  for (const auto& [service, sample] : rates) {
    HostRates& known = services_[service][host];
    // The first sample counts in full.
    const bool first = known.reported == TimePoint{};
    const double age =
        std::chrono::duration<double>(now - known.reported) / kTimeConstant;
    const double weight = first ? 1 : 1 - std::exp(-age);
    known.reported = now;
    Smooth(known.per_second, sample.per_second, weight);
    if (known.shards.size() != sample.shards.size()) {
      known.shards = sample.shards;
    }
    for (size_t n = 0; n < sample.shards.size(); ++n) {
      Smooth(known.shards[n], sample.shards[n], weight);
    }
    for (auto& [key, rate] : known.keys) {
      Smooth(rate, 0, weight);
    }
    for (const placement::KeyRate& it : sample.hottest) {
      known.keys[it.key_hash] += weight * it.per_second;
    }
    std::erase_if(known.keys,
                  [](const auto& it) { return it.second < kMinRate; });
  }
}

// Returns the sum over all hosts, with keys in no particular order.
placement::ServiceRates LoadTable::RatesOf(const std::string& service) const {
  placement::ServiceRates sum;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return sum;
  }
  std::map<std::uint64_t, double> keys;
  for (const auto& [host, rates] : found->second) {
    sum.per_second += rates.per_second;
    sum.shards.resize(std::max(sum.shards.size(), rates.shards.size()));
    for (size_t n = 0; n < rates.shards.size(); ++n) {
      sum.shards[n] += rates.shards[n];
    }
    for (const auto& [key, rate] : rates.keys) {
      keys[key] += rate;
    }
  }
  for (const auto& [key, rate] : keys) {
    sum.hottest.push_back({key, rate});
  }
  return sum;
}

void LoadTable::RemoveStaleHosts(TimePoint now) {
  for (auto& [service, hosts] : services_) {
    std::erase_if(hosts, [&](const auto& it) {
      return now - it.second.reported > kReportTimeout;
    });
  }
}

}  // namespace toucandock::core::control
