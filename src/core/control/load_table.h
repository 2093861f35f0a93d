#ifndef TOUCANDOCK_CORE_CONTROL_LOAD_TABLE_H_
#define TOUCANDOCK_CORE_CONTROL_LOAD_TABLE_H_

#include <map>
#include <string>

#include "core/placement/key_rates.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::control {

// Request rates that the hosts report to the leader, smoothed over time.
class LoadTable {
 public:
  // Time constant of the smoothing: after this time, about two thirds of a
  // sudden change are visible in the rates.
  static constexpr Duration kTimeConstant = std::chrono::seconds(10);

  void Report(const HostId& host,
              const std::map<std::string, placement::ServiceRates>& rates,
              TimePoint now);
  placement::ServiceRates RatesOf(const std::string& service) const;
  void RemoveStaleHosts(TimePoint now);

 private:
  struct HostRates {
    TimePoint reported;
    double per_second = 0;
    std::vector<double> shards;
    std::map<std::uint64_t, double> keys;
  };

  std::map<std::string, std::map<HostId, HostRates>> services_;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_LOAD_TABLE_H_
