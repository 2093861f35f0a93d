#ifndef TOUCANDOCK_CORE_REQUEST_HELD_ANSWERS_H_
#define TOUCANDOCK_CORE_REQUEST_HELD_ANSWERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace toucandock::core::request {

struct HeldAnswerLimits {
  // A quarter of the memory of the users' hosts; as much is reserved for the
  // answers that targets are still sending.
  size_t bytes = 64U << 20;
  // A quarter of the descriptors of the users' hosts.
  size_t answers = 1'000;
};

// The complete answers that callers have not taken yet. Beyond the limits, the
// answer that was held longest gives way, because its caller is the slowest
// reader or has stopped reading.
class HeldAnswers : public std::enable_shared_from_this<HeldAnswers> {
 public:
  using GiveUp = std::function<void()>;
  // The answer counts until this object is destroyed.
  using Hold = std::shared_ptr<const void>;

  explicit HeldAnswers(HeldAnswerLimits limits) : limits_(limits) {}

  // Calls the `give_up` of other answers, or of this one, while the limits are
  // exceeded. A `give_up` may release its answer or hold further ones.
  Hold Add(size_t bytes, GiveUp give_up);

  size_t bytes() const { return bytes_; }
  size_t answers() const { return entries_.size(); }

 private:
  struct Entry {
    size_t bytes = 0;
    GiveUp give_up;
  };

  void Remove(std::uint64_t id);
  void GiveUpExcess();

  const HeldAnswerLimits limits_;
  size_t bytes_ = 0;
  std::uint64_t next_id_ = 0;
  // In the order in which they were added.
  std::map<std::uint64_t, Entry> entries_;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_HELD_ANSWERS_H_
