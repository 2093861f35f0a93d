#ifndef TOUCANDOCK_PROXY_KEY_METER_H_
#define TOUCANDOCK_PROXY_KEY_METER_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/placement/key_rates.h"
#include "core/time.h"

namespace toucandock::proxy {

// Measures how often this host's callers request each key. All methods may be
// called from any thread.
class KeyMeter {
 public:
  void Count(const std::string& service,
             std::uint32_t shards,
             std::uint64_t key_hash);
  std::map<std::string, core::placement::ServiceRates> TakeIfDue(
      core::TimePoint now);

 private:
  struct Meter {
    std::uint32_t shards;
    core::placement::KeyRateCounter counter;
  };

  std::mutex mutex_;
  std::map<std::string, Meter> meters_;
  core::TimePoint taken_at_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_KEY_METER_H_
