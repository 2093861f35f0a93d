#ifndef TOUCANDOCK_CORE_KEYSPACE_MOVE_TIMES_H_
#define TOUCANDOCK_CORE_KEYSPACE_MOVE_TIMES_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "core/keyspace/ownership.h"
#include "core/time.h"

namespace toucandock::core::keyspace {

// Which keys of one service no owner serves at present, since when, and how
// long that has lasted lately. A planned move takes less than a second, a move
// after the loss of an owner several, so the expected rest depends on the time
// that has passed.
class MoveTimes {
 public:
  using IsServed = std::function<bool(const Assignment&)>;

  void Update(const std::vector<Assignment>& assignments,
              const IsServed& is_served,
              TimePoint now);

  // Returns the expected time until an owner serves the key.
  Duration RemainingFor(std::uint32_t key, TimePoint now) const;

 private:
  struct Gap {
    KeyRange keys;
    TimePoint since{};
  };

  static const Gap* Find(const std::vector<Gap>& gaps, std::uint32_t key);

  // Sorted by keys.
  std::vector<Gap> gaps_;
  std::deque<Duration> recent_;
};

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_MOVE_TIMES_H_
