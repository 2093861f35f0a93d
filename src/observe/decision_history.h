#ifndef TOUCANDOCK_OBSERVE_DECISION_HISTORY_H_
#define TOUCANDOCK_OBSERVE_DECISION_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace toucandock::observe {

struct DecisionEntry {
  std::chrono::system_clock::time_point at;
  std::string what;
  std::string cause;
};

// Bounded history of the latest state changes and their causes. Thread-safe.
class DecisionHistory {
 public:
  explicit DecisionHistory(size_t capacity) : capacity_(capacity) {}

  void Add(DecisionEntry entry);
  std::vector<DecisionEntry> Latest(size_t count) const;
  std::vector<DecisionEntry> Matching(const std::string& text) const;

 private:
  const size_t capacity_;
  mutable std::mutex mutex_;
  std::deque<DecisionEntry> entries_;
};

}  // namespace toucandock::observe

#endif  // TOUCANDOCK_OBSERVE_DECISION_HISTORY_H_
