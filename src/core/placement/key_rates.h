#ifndef TOUCANDOCK_CORE_PLACEMENT_KEY_RATES_H_
#define TOUCANDOCK_CORE_PLACEMENT_KEY_RATES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time.h"

namespace toucandock::core::placement {

struct KeyRate {
  std::uint64_t key_hash = 0;
  double per_second = 0;

  bool operator==(const KeyRate&) const = default;
};

// Request rates of one service as measured by one host.
struct ServiceRates {
  double per_second = 0;
  // Rate of each shard; empty if unknown.
  std::vector<double> shards;
  // The most requested keys, hottest first.
  std::vector<KeyRate> hottest;

  bool operator==(const ServiceRates&) const = default;
};

// Finds the most requested keys of a stream in fixed memory. Each slot keeps
// the key that wins a majority vote among the keys that hash to it (Boyer and
// Moore), so a key with many requests displaces the other keys of its slot.
class KeyRateCounter {
 public:
  KeyRateCounter(size_t slots, std::uint32_t shards);

  void Count(std::uint64_t key_hash);
  ServiceRates Take(TimePoint now, size_t max_hottest_keys);

 private:
  struct Slot {
    std::uint64_t key_hash = 0;
    std::uint32_t votes = 0;
    std::uint32_t seen = 0;
  };

  std::vector<Slot> slots_;
  std::vector<std::uint64_t> shards_;
  std::uint64_t total_ = 0;
  TimePoint window_start_;
};

}  // namespace toucandock::core::placement

#endif  // TOUCANDOCK_CORE_PLACEMENT_KEY_RATES_H_
