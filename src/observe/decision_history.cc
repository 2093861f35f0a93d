#include "observe/decision_history.h"

#include <algorithm>
#include <utility>

namespace toucandock::observe {

void DecisionHistory::Add(DecisionEntry entry) {
  const std::lock_guard<std::mutex> lock(mutex_);
  entries_.push_back(std::move(entry));
  if (entries_.size() > capacity_) {
    entries_.pop_front();
  }
}

// Returns up to `count` entries, the newest last.
std::vector<DecisionEntry> DecisionHistory::Latest(size_t count) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const size_t n = std::min(count, entries_.size());
  return {entries_.end() - static_cast<std::ptrdiff_t>(n), entries_.end()};
}

// Returns the entries whose description contains `text`, the newest last.
std::vector<DecisionEntry> DecisionHistory::Matching(
    const std::string& text) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<DecisionEntry> result;
  std::copy_if(entries_.begin(), entries_.end(), std::back_inserter(result),
               [&](const DecisionEntry& it) {
                 return it.what.find(text) != std::string::npos;
               });
  return result;
}

}  // namespace toucandock::observe
