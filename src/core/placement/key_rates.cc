#include "core/placement/key_rates.h"

#include <algorithm>

#include "core/unit.h"

namespace toucandock::core::placement {

// Neither `slots` nor `shards` may be 0.
KeyRateCounter::KeyRateCounter(size_t slots, std::uint32_t shards)
    : slots_(slots), shards_(shards) {}

void KeyRateCounter::Count(std::uint64_t key_hash) {
  ++total_;
  ++shards_[ShardOf(key_hash, static_cast<std::uint32_t>(shards_.size()))];
  // The upper bits select the slot: the lower bits select the shard, and keys
  // of one shard should not share slots.
  Slot& slot = slots_[(key_hash >> 32) % slots_.size()];
  if (slot.key_hash == key_hash) {
    ++slot.votes;
    ++slot.seen;
  } else if (slot.votes > 0) {
    --slot.votes;
  } else {
    slot = {.key_hash = key_hash, .votes = 1, .seen = 1};
  }
}

// Returns the rates since the last call, with up to `max_hottest_keys` keys,
// and starts a new window. The first call returns no rates.
ServiceRates KeyRateCounter::Take(TimePoint now, size_t max_hottest_keys) {
  ServiceRates rates;
  const double seconds =
      std::chrono::duration<double>(now - window_start_).count();
  const bool first = window_start_ == TimePoint{};
  window_start_ = now;
  if (!first && seconds > 0) {
    rates.per_second = static_cast<double>(total_) / seconds;
    rates.shards.reserve(shards_.size());
    for (const std::uint64_t count : shards_) {
      rates.shards.push_back(static_cast<double>(count) / seconds);
    }
    for (const Slot& it : slots_) {
      if (it.votes > 0 && it.seen > 1) {
        rates.hottest.push_back({it.key_hash, it.seen / seconds});
      }
    }
    std::sort(rates.hottest.begin(), rates.hottest.end(),
              [](const KeyRate& a, const KeyRate& b) {
                return a.per_second > b.per_second;
              });
    if (rates.hottest.size() > max_hottest_keys) {
      rates.hottest.resize(max_hottest_keys);
    }
  }
  total_ = 0;
  std::fill(shards_.begin(), shards_.end(), 0);
  std::fill(slots_.begin(), slots_.end(), Slot{});
  return rates;
}

}  // namespace toucandock::core::placement
